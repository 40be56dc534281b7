#include "rpc/compression.h"

#include <bit>
#include <memory>
#include <stdexcept>
#include <zstd.h>

namespace pimentoshed::rpc
{

namespace
{

/** Fast: a file is packed once for many readers, on a fraction of a core. */
constexpr int Level = 1;
/** Of a text; more than the largest file that operators may send. */
constexpr std::size_t MostBytes = 64U << 20U;

struct Free {
    void operator()(ZSTD_CCtx *context) const
    {
        ZSTD_freeCCtx(context);
    }
    void operator()(ZSTD_DCtx *context) const
    {
        ZSTD_freeDCtx(context);
    }
};

core::Error malformed(const char *what)
{
    return {core::ErrorCode::MessageMalformed, std::string("a packed file: ") + what};
}

/** The binary logarithm of a window that reaches back over @p bytes. */
int windowFor(std::size_t bytes)
{
    constexpr int Least = 10;
    return std::max(Least, static_cast<int>(std::bit_width(bytes)));
}

} // namespace

std::string compress(std::string_view text, std::string_view known)
{
    const std::unique_ptr<ZSTD_CCtx, Free> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, Level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowFor(text.size() + known.size()));
    // A reader that leans on another text finds out.
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_refPrefix(context.get(), known.data(), known.size());
    std::string packed(ZSTD_compressBound(text.size()), '\0');
    const auto size = ZSTD_compress2(context.get(), packed.data(), packed.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0) {
        // With room for the worst case only memory can be short.
        throw std::runtime_error(ZSTD_getErrorName(size));
    }
    packed.resize(size);
    return packed;
}

core::Result<std::string> decompress(std::string_view packed, std::string_view known)
{
    const auto size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
        return malformed("not whole");
    }
    if (size > MostBytes) {
        return malformed("too large");
    }
    const std::unique_ptr<ZSTD_DCtx, Free> context(ZSTD_createDCtx());
    ZSTD_DCtx_refPrefix(context.get(), known.data(), known.size());
    std::string text(size, '\0');
    const auto taken = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), packed.data(), packed.size());
    if (ZSTD_isError(taken) != 0 || taken != size) {
        return malformed(ZSTD_isError(taken) != 0 ? ZSTD_getErrorName(taken) : "cut short");
    }
    return text;
}

} // namespace pimentoshed::rpc
