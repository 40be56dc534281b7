#include "journal/filehooks.h"

#include <unistd.h>

namespace pimentoshed::journal
{

FileHooks FileHooks::system()
{
    return {[](int descriptor, const void *data, std::size_t size) {
                return ::write(descriptor, data, size);
            },
            [](int descriptor) {
                return ::fdatasync(descriptor);
            }};
}

} // namespace pimentoshed::journal
