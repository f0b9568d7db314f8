#pragma once

#include <infra/AppendLog.h>

namespace bronzeswitch {

/**
 * HTTP client of the platform's log; satisfies AppendLog.
 *
 *     HttpAppendLog log("127.0.0.1:7000");
 *     auto offset = log.append("control", record);
 */
class HttpAppendLog {
public:
    /**
     * @param authority address and port of the log service, as "address:port".
     * @param timeout of one request; a read may take its waiting time in addition.
     */
    explicit HttpAppendLog(std::string authority, Duration timeout = Duration(1500));

    Result<int64_t> append(const std::string& stream, const nlohmann::json& record);
    Result<LogPage> read(const std::string& stream, int64_t from, int limit, Duration wait);

private:
    std::string m_authority;
    Duration m_timeout;
};

static_assert(AppendLog<HttpAppendLog>);

} // namespace bronzeswitch
