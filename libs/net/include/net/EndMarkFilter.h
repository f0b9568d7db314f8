#pragma once

#include <string>
#include <string_view>

namespace bronzeswitch {

/**
 * Removes the mark that a node which passes a connection on writes behind the last byte if the server has ended its connection orderly.
 *
 * Load pattern: servers and nodes end in the middle of responses of any framing, and reads end anywhere. Only as many of the last bytes are
 * held back as may be the beginning of the mark.
 *
 *     EndMarkFilter filter(EndMarkFilter::makeMark());
 *     body += filter.put(bytes);
 *     const bool isOrderlyEnd = filter.isMarked(); // At the end of the connection.
 */
class EndMarkFilter {
public:
    explicit EndMarkFilter(std::string mark)
        : m_mark(std::move(mark))
    {
    }

    /** @return a random mark. */
    static std::string makeMark();

    /** Takes the next bytes of the connection. @return the bytes that are known to be the server's. */
    std::string put(std::string_view bytes);

    /** @return true if the last bytes of the connection so far are the mark. */
    bool isMarked() const { return m_heldBack == m_mark; }

private:
    std::string m_mark;
    std::string m_heldBack; /**< The last bytes, which the mark begins with. */
};

} // namespace bronzeswitch
