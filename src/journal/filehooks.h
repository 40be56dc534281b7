/**
 * @file
 * The system calls that durability depends on, as hooks, so that tests can make them fail.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <sys/types.h>

namespace pimentoshed::journal
{

/** Each hook returns what its system call returns, and sets errno. */
struct FileHooks {
    std::function<ssize_t(int, const void *, std::size_t)> write;
    /** Makes a file's content durable. */
    std::function<int(int)> sync;

    /** write(2) and fdatasync(2). */
    static FileHooks system();
};

} // namespace pimentoshed::journal
