#include <http/HttpServer.h>

#include <array>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <mutex>
#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <thread>
#include <unordered_map>

namespace bronzeswitch {

namespace {

using Pistache::Http::ResponseWriter;
using DisconnectFlag = std::shared_ptr<std::atomic<bool>>;

// Counts running tasks and records which connections their clients have closed.
class TaskRegistry {
public:
    explicit TaskRegistry(int limit)
        : m_limit(limit)
    {
    }

    bool tryStartTask()
    {
        std::lock_guard lock(m_mutex);
        if (m_running >= m_limit || m_isStopping)
            return false;
        ++m_running;
        return true;
    }

    void finishTask()
    {
        std::lock_guard lock(m_mutex);
        --m_running;
        m_allFinished.notify_all();
    }

    int runningTasks() const
    {
        std::lock_guard lock(m_mutex);
        return m_running;
    }

    void stopAndWait()
    {
        std::unique_lock lock(m_mutex);
        m_isStopping = true;
        m_allFinished.wait(lock, [this] { return !m_running; });
    }

    DisconnectFlag disconnectFlag(size_t connection)
    {
        std::lock_guard lock(m_mutex);
        auto& flag = m_disconnectFlags[connection];
        if (!flag)
            flag = std::make_shared<std::atomic<bool>>(false);
        return flag;
    }

    void onConnectionClosed(size_t connection)
    {
        std::lock_guard lock(m_mutex);
        const auto found = m_disconnectFlags.find(connection);
        if (found == m_disconnectFlags.end())
            return;
        found->second->store(true);
        m_disconnectFlags.erase(found);
    }

private:
    const int m_limit;
    mutable std::mutex m_mutex;
    std::condition_variable m_allFinished;
    std::unordered_map<size_t, DisconnectFlag> m_disconnectFlags;
    int m_running = 0;
    bool m_isStopping = false;
};

const char* reasonPhrase(int status) { return Pistache::Http::codeString(static_cast<Pistache::Http::Code>(status)); }

// Writes a response through Peer::send, which only queues the bytes for the reactor. Pistache's ResponseStream is not used, because its
// flush() drains the reactor's queue on the calling thread, which is not safe on a task's thread.
class PistacheResponder final : public HttpResponder {
public:
    PistacheResponder(std::shared_ptr<Pistache::Tcp::Peer> peer, DisconnectFlag isDisconnected)
        : m_peer(std::move(peer))
        , m_isDisconnected(std::move(isDisconnected))
    {
    }

    void send(const HttpResponse& response) override
    {
        if (m_isStarted)
            return;
        m_isStarted = true;
        const HttpHeader length { "Content-Length", std::to_string(response.body.size()) };
        queue(head(response.status, response.headers, length) + response.body);
    }

    void startStream(int status, const HttpHeaders& headers) override
    {
        if (m_isStarted)
            return;
        m_isStarted = true;
        queue(head(status, headers, { "Transfer-Encoding", "chunked" }));
    }

    bool write(std::string_view chunk) override
    {
        if (!chunk.empty())
            queue(chunkHead(chunk.size()) + std::string(chunk) + "\r\n");
        return !isClientDisconnected();
    }

    void finishStream() override { queue("0\r\n\r\n"); }
    bool isClientDisconnected() const override { return m_hasWriteFailed || m_isDisconnected->load(); }
    bool isStarted() const override { return m_isStarted; }

private:
    static std::string head(int status, const HttpHeaders& headers, const HttpHeader& framing)
    {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
        for (const auto& header : headers)
            text += header.name + ": " + header.value + "\r\n";
        return text + framing.name + ": " + framing.value + "\r\n\r\n";
    }

    static std::string chunkHead(size_t size)
    {
        constexpr size_t maxDigits = 20;
        std::array<char, maxDigits> digits {};
        const auto result = std::to_chars(digits.begin(), digits.end(), size, 16);
        return std::string(digits.begin(), result.ptr) + "\r\n";
    }

    // Pistache throws if the connection is closed; clients may disconnect at any time, so this is not reported as an error.
    void queue(const std::string& bytes)
    {
        if (isClientDisconnected())
            return;
        try {
            m_peer->send(Pistache::RawBuffer(bytes, bytes.size()));
        } catch (const std::exception&) {
            m_hasWriteFailed = true;
        }
    }

    std::shared_ptr<Pistache::Tcp::Peer> m_peer;
    DisconnectFlag m_isDisconnected;
    bool m_isStarted = false;
    bool m_hasWriteFailed = false;
};

HttpRequest toRequest(const Pistache::Http::Request& request)
{
    HttpRequest result;
    result.method = Pistache::Http::methodString(request.method());
    result.path = request.resource();
    result.body = request.body();
    result.query = request.query().as_str();
    if (!result.query.empty() && result.query.front() == '?')
        result.query.erase(0, 1);
    for (const auto& [name, raw] : request.headers().rawList())
        result.headers.push_back({ raw.name(), raw.value() });
    return result;
}

class PistacheHandler final : public Pistache::Http::Handler {
public:
    HTTP_PROTOTYPE(PistacheHandler)

    PistacheHandler(std::shared_ptr<TaskRegistry> tasks, HttpServer::Handler handler, HttpServer::Handler overloadHandler)
        : m_tasks(std::move(tasks))
        , m_handler(std::move(handler))
        , m_overloadHandler(std::move(overloadHandler))
    {
    }

    void onRequest(const Pistache::Http::Request& request, ResponseWriter writer) override
    {
        const auto peer = writer.getPeer();
        if (!peer)
            return;
        // Pistache exempts idle connections from the header timeout, which would close this one while its request waits or streams.
        peer->setIdle(true);
        auto responder = std::make_shared<PistacheResponder>(peer, m_tasks->disconnectFlag(peer->getID()));
        if (!m_tasks->tryStartTask()) {
            m_overloadHandler(toRequest(request), *responder);
            return;
        }
        std::thread([tasks = m_tasks, handler = m_handler, responder = std::move(responder), message = toRequest(request)]() mutable {
            handler(message, *responder);
            responder.reset();
            tasks->finishTask();
        }).detach();
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override { m_tasks->onConnectionClosed(peer->getID()); }

private:
    std::shared_ptr<TaskRegistry> m_tasks;
    HttpServer::Handler m_handler;
    HttpServer::Handler m_overloadHandler;
};

class PistacheServer final : public HttpServer {
public:
    PistacheServer(const Options& options, Handler handler, Handler overloadHandler)
        : m_tasks(std::make_shared<TaskRegistry>(options.maxTasks))
        , m_endpoint(Pistache::Address(options.address, Pistache::Port(options.port)))
    {
        constexpr auto bodyTimeout = std::chrono::seconds(30);
        constexpr auto keepaliveTimeout = std::chrono::hours(1);
        auto settings = Pistache::Http::Endpoint::options()
                            .threads(options.reactorThreads)
                            .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
                            .maxRequestSize(options.maxRequestBytes)
                            .bodyTimeout(bodyTimeout)
                            .keepaliveTimeout(keepaliveTimeout);
        m_endpoint.init(settings);
        m_endpoint.setHandler(std::make_shared<PistacheHandler>(m_tasks, std::move(handler), std::move(overloadHandler)));
        m_endpoint.serveThreaded();
    }

    ~PistacheServer() override { shutdown(); }

    uint16_t port() const override { return static_cast<uint16_t>(m_endpoint.getPort()); }
    int runningTasks() const override { return m_tasks->runningTasks(); }

    void shutdown() override
    {
        if (std::exchange(m_isStopped, true))
            return;
        m_tasks->stopAndWait();
        m_endpoint.shutdown();
    }

private:
    std::shared_ptr<TaskRegistry> m_tasks;
    Pistache::Http::Endpoint m_endpoint;
    bool m_isStopped = false;
};

} // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::create(const Options& options, Handler handler, Handler overloadHandler)
{
    try {
        return std::make_unique<PistacheServer>(options, std::move(handler), std::move(overloadHandler));
    } catch (const std::exception& error) {
        return fail(
            ErrorCode::Unavailable, "can't listen on " + options.address + ":" + std::to_string(options.port) + ": " + error.what());
    }
}

} // namespace bronzeswitch
