#include <algorithm>
#include <base/BytePatch.h>
#include <cstdint>
#include <unordered_map>

namespace bronzeswitch {

namespace {

constexpr std::size_t blockBytes = 48; // Shorter common parts are stated rather than copied.
constexpr uint64_t hashFactor = 0x100000001b3ULL;
constexpr std::size_t maxTextBytes = 64UL * 1024 * 1024; // Of the result of a patch.

// Polynomial hash of a window that moves over a text.
class RollingHash {
public:
    explicit RollingHash(std::string_view window)
    {
        for (const char byte : window)
            m_value = m_value * hashFactor + static_cast<unsigned char>(byte);
        for (std::size_t i = 1; i < window.size(); ++i)
            m_leadingFactor *= hashFactor;
    }

    void move(char leaving, char entering)
    {
        m_value -= static_cast<unsigned char>(leaving) * m_leadingFactor;
        m_value = m_value * hashFactor + static_cast<unsigned char>(entering);
    }

    uint64_t value() const { return m_value; }

private:
    uint64_t m_value = 0;
    uint64_t m_leadingFactor = 1;
};

class PatchBuilder {
public:
    PatchBuilder(std::string_view base, std::string_view target)
        : m_base(base)
        , m_target(target)
    {
        for (std::size_t offset = 0; offset + blockBytes <= base.size(); offset += blockBytes)
            m_blocks.try_emplace(RollingHash(base.substr(offset, blockBytes)).value(), offset);
    }

    BytePatch build()
    {
        copyFrom(0); // The texts often begin alike.
        while (m_position + blockBytes <= m_target.size())
            findNextCopy();
        state(m_target.size());
        return std::move(m_patch);
    }

private:
    // Goes on until a block of the base is found, and copies from there on.
    void findNextCopy()
    {
        RollingHash hash(m_target.substr(m_position, blockBytes));
        for (;;) {
            const auto block = m_blocks.find(hash.value());
            if (block != m_blocks.end() && copyFrom(block->second))
                return;
            if (m_position + blockBytes >= m_target.size()) {
                m_position = m_target.size();
                return;
            }
            hash.move(m_target[m_position], m_target[m_position + blockBytes]);
            ++m_position;
        }
    }

    // Copies as much as the texts share around the position. Returns false if that is less than a block.
    bool copyFrom(std::size_t offset)
    {
        auto start = m_position;
        while (start > m_stated && offset > 0 && m_target[start - 1] == m_base[offset - 1]) {
            --start;
            --offset;
        }
        std::size_t length = 0;
        while (start + length < m_target.size() && offset + length < m_base.size() && m_target[start + length] == m_base[offset + length])
            ++length;
        if (length < blockBytes)
            return false;
        state(start);
        m_patch.steps.emplace_back(BytePatch::Copy { offset, length });
        m_position = start + length;
        m_stated = m_position;
        return true;
    }

    // States what has not been copied before an end.
    void state(std::size_t end)
    {
        if (end > m_stated)
            m_patch.steps.emplace_back(std::string(m_target.substr(m_stated, end - m_stated)));
        m_stated = end;
    }

    std::string_view m_base;
    std::string_view m_target;
    std::unordered_map<uint64_t, std::size_t> m_blocks; /**< Offsets in the base. */
    std::size_t m_position = 0;
    std::size_t m_stated = 0; /**< The target up to here is in the patch. */
    BytePatch m_patch;
};

} // namespace

BytePatch BytePatch::between(std::string_view base, std::string_view target) { return PatchBuilder(base, target).build(); }

Result<std::string> BytePatch::apply(std::string_view base) const
{
    std::string text;
    for (const auto& step : steps) {
        if (const auto* stated = std::get_if<std::string>(&step)) {
            text += *stated;
            continue;
        }
        const auto& copy = std::get<Copy>(step);
        if (copy.offset > base.size() || copy.length > base.size() - copy.offset)
            return fail(ErrorCode::InvalidArgument, "the patch exceeds its base");
        if (copy.length > maxTextBytes - std::min(maxTextBytes, text.size()))
            return fail(ErrorCode::InvalidArgument, "the patch's result is too large");
        text += base.substr(copy.offset, copy.length);
    }
    return text;
}

} // namespace bronzeswitch
