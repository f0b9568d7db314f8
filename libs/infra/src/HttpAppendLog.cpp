#include "JsonCall.h"

#include <infra/HttpAppendLog.h>

namespace bronzeswitch {

namespace {

Result<LogPage> decodePage(const nlohmann::json& value)
{
    try {
        LogPage page;
        page.firstOffset = value.at("first").get<int64_t>();
        page.nextOffset = value.at("next").get<int64_t>();
        for (const auto& record : value.at("records"))
            page.records.push_back({ record.at("offset").get<int64_t>(), record.at("time_ms").get<int64_t>(), record.at("data") });
        return page;
    } catch (const nlohmann::json::exception& error) {
        return fail(ErrorCode::Protocol, std::string("invalid log page: ") + error.what());
    }
}

} // namespace

HttpAppendLog::HttpAppendLog(std::string authority, Duration timeout)
    : m_authority(std::move(authority))
    , m_timeout(timeout)
{
}

Result<int64_t> HttpAppendLog::append(const std::string& stream, const nlohmann::json& record)
{
    const auto response = jsonCall(m_authority, "POST", "/streams/" + stream, record.dump(), m_timeout);
    if (!response)
        return tl::unexpected(response.error());
    if (!response->is_object() || !response->contains("offset") || !(*response)["offset"].is_number_integer())
        return fail(ErrorCode::Timeout, "append answered without an offset");
    return (*response)["offset"].get<int64_t>();
}

Result<LogPage> HttpAppendLog::read(const std::string& stream, int64_t from, int limit, Duration wait)
{
    const auto path = "/streams/" + stream + "?from=" + std::to_string(from) + "&max=" + std::to_string(limit)
        + "&wait_ms=" + std::to_string(wait.count());
    const auto response = jsonCall(m_authority, "GET", path, "", m_timeout + wait);
    if (!response)
        return tl::unexpected(response.error());
    return decodePage(*response);
}

} // namespace bronzeswitch
