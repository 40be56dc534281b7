#include "rpc/compression.h"

#include <bit>
#include <memory>
#include <stdexcept>
#include <zstd.h>

namespace pimentoshed::rpc
{

namespace
{

/** A fast level: a file is compressed once for many hosts, with a fraction of a core. */
constexpr int CompressionLevel = 1;
/** Limit on the decompressed text; above the size of the largest file that operators may send. */
constexpr std::size_t MaxTextBytes = 64U << 20U;

struct ContextDeleter {
    void operator()(ZSTD_CCtx *context) const
    {
        ZSTD_freeCCtx(context);
    }
    void operator()(ZSTD_DCtx *context) const
    {
        ZSTD_freeDCtx(context);
    }
};

core::Error malformed(const char *detail)
{
    return {core::ErrorCode::MessageMalformed, std::string("compressed file: ") + detail};
}

/** Returns the binary logarithm of the size of a window that covers @p bytes. */
int windowLogFor(std::size_t bytes)
{
    constexpr int MinWindowLog = 10;
    return std::max(MinWindowLog, static_cast<int>(std::bit_width(bytes)));
}

} // namespace

std::string compress(std::string_view text, std::string_view reference)
{
    const std::unique_ptr<ZSTD_CCtx, ContextDeleter> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, CompressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLogFor(text.size() + reference.size()));
    // Makes decompression against another reference text fail.
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_refPrefix(context.get(), reference.data(), reference.size());
    std::string compressed(ZSTD_compressBound(text.size()), '\0');
    const auto size = ZSTD_compress2(context.get(), compressed.data(), compressed.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0) {
        // The buffer has the size of the worst case, so this can only be a lack of memory.
        throw std::runtime_error(ZSTD_getErrorName(size));
    }
    compressed.resize(size);
    return compressed;
}

core::Result<std::string> decompress(std::string_view compressed, std::string_view reference)
{
    const auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
        return malformed("no zstd frame header with a content size");
    }
    if (size > MaxTextBytes) {
        return malformed("content size exceeds 64 MiB");
    }
    const std::unique_ptr<ZSTD_DCtx, ContextDeleter> context(ZSTD_createDCtx());
    ZSTD_DCtx_refPrefix(context.get(), reference.data(), reference.size());
    std::string text(size, '\0');
    const auto written =
        ZSTD_decompressDCtx(context.get(), text.data(), text.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(written) != 0 || written != size) {
        return malformed(ZSTD_isError(written) != 0 ? ZSTD_getErrorName(written)
                                                    : "shorter than the content size in the frame header");
    }
    return text;
}

} // namespace pimentoshed::rpc
