#include <base/HttpStatus.h>
#include <charconv>
#include <gateway/StateFetcher.h>

namespace bronzeswitch {

namespace {

constexpr Duration directoryStaleAfter { 800 }; // Without a change of the directory's position.
constexpr std::string_view patchBaseField = "&base=";
constexpr std::size_t maxStateBytes = 16UL * 1024 * 1024;

} // namespace

StateFetcher::StateFetcher(GatewayContext& context, const PeerView& peers, std::string dataCentre)
    : m_context(context)
    , m_peers(peers)
    , m_dataCentre(std::move(dataCentre))
{
}

void StateFetcher::setDirectoryPosition(const SourcePosition& position)
{
    if (position != m_directoryPosition)
        m_directoryPositionChangedAt = monotonicNow();
    m_directoryPosition = position;
}

std::vector<StateHolder> StateFetcher::newerRoutingHolders() const
{
    return m_peers.newestRoutingHolders(m_context.routing ? m_context.routing->version() : 0, m_dataCentre);
}

Duration StateFetcher::behindFor(TimePoint now) const
{
    return m_catchUp ? std::chrono::duration_cast<Duration>(now - m_catchUp->since) : Duration(0);
}

nlohmann::json StateFetcher::describeCatchUp() const
{
    if (!m_catchUp)
        return nlohmann::json::object();
    return { { "behindMs", behindFor(monotonicNow()).count() }, { "fetches", m_catchUp->fetches },
        { "refusedFetches", m_catchUp->refusedFetches }, { "failedFetches", m_catchUp->failedFetches },
        { "sourceReads", m_catchUp->sourceReads } };
}

void StateFetcher::updateCatchUp(const std::vector<StateHolder>& holders, TimePoint now)
{
    if (holders.empty())
        m_catchUp.reset();
    if (holders.empty() || m_catchUp)
        return;
    m_catchUp = CatchUp { now, 0, 0, 0, 0 };
    m_context.log.write(
        events::routingOutdated, { { "version", m_context.routing ? m_context.routing->version() : 0 }, { "holders", holders.size() } });
}

Task<void> StateFetcher::run(std::function<void(const std::string&)> applyState, std::function<std::optional<uint64_t>()> patchBase)
{
    m_applyState = std::move(applyState);
    m_patchBase = std::move(patchBase);
    while (!m_isStopping) {
        co_await sleepFor(m_context.executor, m_plan.policy().retryInterval);
        if (auto target = chooseTarget())
            startFetch(std::move(*target));
        if (isRoutingOutdated() && m_plan.policy().shouldReadSource(behindFor(monotonicNow())))
            startSourceRead();
    }
}

std::optional<uint64_t> StateFetcher::patchBaseOf(std::string_view target)
{
    const auto field = target.find(patchBaseField);
    if (field == std::string_view::npos)
        return std::nullopt;
    const auto text = target.substr(field + patchBaseField.size());
    uint64_t base = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), base);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? std::optional(base) : std::nullopt;
}

std::string StateFetcher::pathFor(const Target& target) const
{
    if (target.needsDirectory)
        return statePath;
    const auto base = m_patchBase ? m_patchBase() : std::nullopt;
    return base ? routingStatePath + std::string(patchBaseField) + std::to_string(*base) : routingStatePath;
}

void StateFetcher::startFetch(Target target)
{
    const auto address = target.address;
    startTask(m_context.executor, fetch(std::move(target)), [this, address](const std::string& reason) {
        m_connections.erase(address);
        m_plan.onEnd(address, true, monotonicNow());
        m_context.log.write(events::taskFailed, { { "task", "fetch" }, { "reason", reason } });
    });
}

void StateFetcher::startSourceRead()
{
    if (m_isReadingSource || !m_context.confirmRouting)
        return;
    m_isReadingSource = true;
    count(&CatchUp::sourceReads);
    startTask(m_context.executor, readSource(), [this](const std::string& reason) {
        m_isReadingSource = false;
        m_context.log.write(events::taskFailed, { { "task", "source" }, { "reason", reason } });
    });
}

Task<void> StateFetcher::readSource()
{
    co_await m_context.confirmRouting();
    m_isReadingSource = false;
}

void StateFetcher::count(int CatchUp::*counter)
{
    if (m_catchUp)
        ++((*m_catchUp).*counter);
}

// The directory changes all the time, so the source is unreachable if this node's position stays the same while peers advance.
std::optional<StateFetcher::Target> StateFetcher::chooseTarget()
{
    const auto now = monotonicNow();
    const auto holders = newerRoutingHolders();
    updateCatchUp(holders, now);
    if (!holders.empty()) {
        // A node without any routing can't wait for a peer in its data centre.
        const auto waited = m_context.routing ? behindFor(now) : m_plan.policy().ownDataCentreOnly;
        const auto address = m_plan.start(holders, waited, now, m_random);
        return address ? std::optional<Target>({ *address, m_context.directory.entries().empty() }) : std::nullopt;
    }
    abortNeedlessFetches();
    std::string address;
    const bool isStuck = now - m_directoryPositionChangedAt > directoryStaleAfter && !m_plan.isFetching();
    if (!isStuck || !m_peers.newestDirectoryPeer(m_directoryPosition, address))
        return std::nullopt;
    const auto chosen = m_plan.start({ { address, true } }, m_plan.policy().ownDataCentreOnly, now, m_random);
    return chosen ? std::optional<Target>({ *chosen, true }) : std::nullopt;
}

void StateFetcher::abortNeedlessFetches()
{
    for (const auto& [address, connection] : m_connections)
        connection->abort();
}

Task<void> StateFetcher::fetch(Target target)
{
    count(&CatchUp::fetches);
    const auto state = co_await request(target);
    m_connections.erase(target.address);
    const bool isRefused = !state && state.error().code == ErrorCode::Conflict;
    const bool isNeedless = !state && state.error().code == ErrorCode::Cancelled;
    m_plan.onEnd(target.address, !state && !isRefused && !isNeedless, monotonicNow());
    if (state) {
        m_context.metrics.countIncident("state-fetched");
        m_context.metrics.countIncident("state-bytes-fetched", static_cast<int>(state->size()));
        m_context.log.write(events::stateFetched, { { "from", target.address }, { "bytes", state->size() } });
        m_applyState(*state);
        co_return;
    }
    if (isRefused) {
        count(&CatchUp::refusedFetches);
        m_context.metrics.countIncident("state-fetch-refused");
        co_return;
    }
    if (isNeedless)
        co_return;
    count(&CatchUp::failedFetches);
    m_context.log.write(events::dependencyLost, { { "dependency", "peer " + target.address }, { "reason", state.error().message } });
}

Task<Result<std::string>> StateFetcher::request(const Target& target)
{
    const auto endpoint = parseEndpoint(target.address);
    if (!endpoint)
        co_return tl::unexpected(endpoint.error());
    const auto deadline = monotonicNow() + m_plan.policy().timeout;
    auto acquired = co_await m_context.connectionPool.acquire(*endpoint, deadline);
    if (!acquired)
        co_return tl::unexpected(acquired.error());
    auto& connection = *acquired->connection;
    if (!target.needsDirectory)
        m_connections[target.address] = &connection;
    OutgoingRequest request;
    HttpFields fields;
    fields.set("Host", target.address);
    request.head = formatRequestHead("GET", pathFor(target), fields, 0);
    request.body = std::make_shared<const std::string>();
    const auto head = co_await connection.exchange(std::move(request), deadline);
    if (!head)
        co_return tl::unexpected(head.error());
    std::string state;
    for (bool isComplete = false; !isComplete;) {
        m_plan.onProgress(target.address, monotonicNow());
        const auto more = co_await connection.readSome(state, deadline);
        if (!more)
            co_return tl::unexpected(more.error());
        if (state.size() > maxStateBytes)
            co_return fail(ErrorCode::Protocol, "the state is too large");
        isComplete = !*more;
    }
    m_connections.erase(target.address);
    m_context.connectionPool.release(std::move(acquired->connection));
    if (head->status == httpstatus::serviceUnavailable)
        co_return fail(ErrorCode::Conflict, "the peer serves enough copies");
    if (head->status != httpstatus::ok)
        co_return fail(ErrorCode::Protocol, "status " + std::to_string(head->status));
    co_return state;
}

} // namespace bronzeswitch
