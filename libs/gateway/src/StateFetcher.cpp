#include <base/HttpStatus.h>
#include <gateway/StateFetcher.h>

namespace bronzeswitch {

namespace {

constexpr Duration directoryStaleAfter { 800 }; // Without a change of the directory's position.
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

Task<void> StateFetcher::run(std::function<void(const std::string&)> applyState)
{
    m_applyState = std::move(applyState);
    while (!m_isStopping) {
        co_await sleepFor(m_context.executor, m_policy.retryInterval);
        const auto target = chooseTarget();
        if (target)
            co_await fetchFrom(*target);
        const bool shouldReadSource = isRoutingOutdated() && m_policy.shouldReadSource(behindFor(monotonicNow()));
        if (!shouldReadSource || !m_context.confirmRouting)
            continue;
        count(&CatchUp::sourceReads);
        co_await m_context.confirmRouting();
    }
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
        const auto waited = m_context.routing ? behindFor(now) : m_policy.ownDataCentreOnly;
        const auto address = m_policy.choosePeer(holders, waited, m_random);
        return address ? std::optional<Target>({ *address, m_context.directory.entries().empty() }) : std::nullopt;
    }
    std::string address;
    if (now - m_directoryPositionChangedAt > directoryStaleAfter && m_peers.newestDirectoryPeer(m_directoryPosition, address))
        return Target { address, true };
    return std::nullopt;
}

Task<void> StateFetcher::fetchFrom(const Target& target)
{
    const auto endpoint = parseEndpoint(target.address);
    if (!endpoint)
        co_return;
    OutgoingRequest request;
    HttpFields fields;
    fields.set("Host", target.address);
    request.head = formatRequestHead("GET", target.needsDirectory ? statePath : routingStatePath, fields, 0);
    request.body = std::make_shared<const std::string>();
    count(&CatchUp::fetches);
    const auto response
        = co_await m_context.connectionPool.call(*endpoint, std::move(request), monotonicNow() + m_policy.timeout, maxStateBytes);
    if (response && response->head.status == httpstatus::serviceUnavailable) {
        count(&CatchUp::refusedFetches);
        m_context.metrics.countIncident("state-fetch-refused"); // The peer serves enough copies; another one is chosen next.
        co_return;
    }
    if (!response || response->head.status != httpstatus::ok) {
        count(&CatchUp::failedFetches);
        m_context.log.write(events::dependencyLost,
            { { "dependency", "peer " + target.address },
                { "reason", response ? "status " + std::to_string(response->head.status) : response.error().message } });
        co_return;
    }
    m_context.metrics.countIncident("state-fetched");
    m_context.log.write(events::stateFetched, { { "from", target.address }, { "bytes", response->body.size() } });
    m_applyState(response->body);
}

} // namespace bronzeswitch
