#pragma once

#include <base/Error.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bronzeswitch {

/**
 * The difference between two texts: a sequence of parts that are copied from the base or stated.
 *
 *     const auto patch = BytePatch::between(before, after);
 *     const auto text = patch.apply(before); // after
 */
struct BytePatch {
    /** A part that is copied from the base. */
    struct Copy {
        std::size_t offset = 0;
        std::size_t length = 0;

        bool operator==(const Copy&) const = default;
    };
    using Step = std::variant<Copy, std::string>;

    std::vector<Step> steps;

    /**
     * Finds a patch in time linear to the lengths of the texts. It is short if they share long parts, also moved ones, but not the shortest
     * one.
     */
    static BytePatch between(std::string_view base, std::string_view target);

    /** @return the text that results from a base, or InvalidArgument if the patch exceeds the base. */
    Result<std::string> apply(std::string_view base) const;

    bool operator==(const BytePatch&) const = default;
};

} // namespace bronzeswitch
