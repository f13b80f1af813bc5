#pragma once

// Selects h2o's own event loop; must precede its headers.
#define H2O_USE_LIBUV 0

extern "C" {
#include <h2o.h>
#include <h2o/http2.h>
}
