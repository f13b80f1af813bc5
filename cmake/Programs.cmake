# Programs are added once their main file exists, so that modules can be built one by one.
function(teaselshore_program_if_present program module source)
    if(EXISTS ${CMAKE_SOURCE_DIR}/src/teaselshore/${module}/${source})
        teaselshore_program(${program} ${module} ${source} ${ARGN})
    endif()
endfunction()

teaselshore_program_if_present(teaselshored daemon teaselshored_main.cpp)
teaselshore_program_if_present(teaselshore-entry daemon entry_main.cpp)
# Leaves out the libraries of the other daemon, whose memory each process would pay for.
target_link_options(teaselshore-entry PRIVATE -Wl,--as-needed)
teaselshore_program_if_present(teaselshorectl ctl teaselshorectl_main.cpp)
teaselshore_program_if_present(teaselshore-platform emulators platform_main.cpp)
teaselshore_program_if_present(teaselshore-engine emulators engine_main.cpp)
teaselshore_program_if_present(teaselshore-service emulators service_main.cpp)
teaselshore_program_if_present(teaselshore-load emulators load_main.cpp)
teaselshore_program_if_present(teaselshore-bench emulators bench_main.cpp)

foreach(module IN ITEMS configuration reliability routing journal membership control node)
    teaselshore_benchmarks(${module})
endforeach()
