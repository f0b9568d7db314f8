#pragma once

#include <infra/AppendLog.h>

namespace bronzeswitch {

/**
 * The platform's log over HTTP; satisfies AppendLog.
 *
 *     HttpAppendLog log("127.0.0.1:7000");
 *     auto offset = log.append("control", record);
 */
class HttpAppendLog {
public:
    /** @param authority address and port of the log service. @param timeout bound on one call without its waiting time. */
    explicit HttpAppendLog(std::string authority, Duration timeout = Duration(1500));

    Result<int64_t> append(const std::string& stream, const nlohmann::json& record);
    Result<LogPage> read(const std::string& stream, int64_t from, int limit, Duration wait);

private:
    std::string m_authority;
    Duration m_timeout;
};

static_assert(AppendLog<HttpAppendLog>);

} // namespace bronzeswitch
