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
using ClientGoneFlag = std::shared_ptr<std::atomic<bool>>;

// Counts running tasks and knows which connections have been closed by their client.
class TaskRegistry {
public:
    explicit TaskRegistry(int limit)
        : m_limit(limit)
    {
    }

    bool tryEnter()
    {
        std::lock_guard lock(m_mutex);
        if (m_running >= m_limit || m_stopping)
            return false;
        ++m_running;
        return true;
    }

    void leave()
    {
        std::lock_guard lock(m_mutex);
        --m_running;
        m_idle.notify_all();
    }

    int running() const
    {
        std::lock_guard lock(m_mutex);
        return m_running;
    }

    void stopAndWait()
    {
        std::unique_lock lock(m_mutex);
        m_stopping = true;
        m_idle.wait(lock, [this] { return !m_running; });
    }

    ClientGoneFlag track(size_t connection)
    {
        std::lock_guard lock(m_mutex);
        auto& flag = m_connections[connection];
        if (!flag)
            flag = std::make_shared<std::atomic<bool>>(false);
        return flag;
    }

    void connectionClosed(size_t connection)
    {
        std::lock_guard lock(m_mutex);
        const auto found = m_connections.find(connection);
        if (found == m_connections.end())
            return;
        found->second->store(true);
        m_connections.erase(found);
    }

private:
    const int m_limit;
    mutable std::mutex m_mutex;
    std::condition_variable m_idle;
    std::unordered_map<size_t, ClientGoneFlag> m_connections;
    int m_running = 0;
    bool m_stopping = false;
};

const char* reasonPhrase(int status) { return Pistache::Http::codeString(static_cast<Pistache::Http::Code>(status)); }

// Writes the bytes of a response through Peer::send, which only queues them for the reactor. Pistache's own
// ResponseStream::flush drains the reactor's queue on the calling thread and is not safe from a task.
class PistacheResponder final : public HttpResponder {
public:
    PistacheResponder(std::shared_ptr<Pistache::Tcp::Peer> peer, ClientGoneFlag gone)
        : m_peer(std::move(peer))
        , m_gone(std::move(gone))
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
    bool isClientDisconnected() const override { return m_isFailed || m_gone->load(); }
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

    // Pistache throws when the connection is gone; that is an ordinary outcome here.
    void queue(const std::string& bytes)
    {
        if (isClientDisconnected())
            return;
        try {
            m_peer->send(Pistache::RawBuffer(bytes, bytes.size()));
        } catch (const std::exception&) {
            m_isFailed = true;
        }
    }

    std::shared_ptr<Pistache::Tcp::Peer> m_peer;
    ClientGoneFlag m_gone;
    bool m_isStarted = false;
    bool m_isFailed = false;
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

    PistacheHandler(std::shared_ptr<TaskRegistry> tasks, HttpServer::Handler handler, HttpServer::Handler overloaded)
        : m_tasks(std::move(tasks))
        , m_handler(std::move(handler))
        , m_overloaded(std::move(overloaded))
    {
    }

    void onRequest(const Pistache::Http::Request& request, ResponseWriter writer) override
    {
        const auto peer = writer.getPeer();
        if (!peer)
            return;
        // An idle mark exempts the connection from the header timeout while its request waits or streams.
        peer->setIdle(true);
        auto responder = std::make_shared<PistacheResponder>(peer, m_tasks->track(peer->getID()));
        if (!m_tasks->tryEnter()) {
            m_overloaded(toRequest(request), *responder);
            return;
        }
        std::thread([tasks = m_tasks, handler = m_handler, responder = std::move(responder), message = toRequest(request)]() mutable {
            handler(message, *responder);
            responder.reset();
            tasks->leave();
        }).detach();
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override { m_tasks->connectionClosed(peer->getID()); }

private:
    std::shared_ptr<TaskRegistry> m_tasks;
    HttpServer::Handler m_handler;
    HttpServer::Handler m_overloaded;
};

class PistacheServer final : public HttpServer {
public:
    PistacheServer(const Options& options, Handler handler, Handler overloaded)
        : m_tasks(std::make_shared<TaskRegistry>(options.maxTasks))
        , m_endpoint(Pistache::Address(options.address, Pistache::Port(options.port)))
    {
        constexpr auto bodyTimeout = std::chrono::seconds(30);
        constexpr auto keepaliveTimeout = std::chrono::hours(1);
        auto settings = Pistache::Http::Endpoint::options()
                            .threads(options.reactorThreads)
                            .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
                            .maxRequestSize(options.maxBodyBytes)
                            .bodyTimeout(bodyTimeout)
                            .keepaliveTimeout(keepaliveTimeout);
        m_endpoint.init(settings);
        m_endpoint.setHandler(std::make_shared<PistacheHandler>(m_tasks, std::move(handler), std::move(overloaded)));
        m_endpoint.serveThreaded();
    }

    ~PistacheServer() override { shutdown(); }

    uint16_t port() const override { return static_cast<uint16_t>(m_endpoint.getPort()); }
    int runningTasks() const override { return m_tasks->running(); }

    void shutdown() override
    {
        if (std::exchange(m_stopped, true))
            return;
        m_tasks->stopAndWait();
        m_endpoint.shutdown();
    }

private:
    std::shared_ptr<TaskRegistry> m_tasks;
    Pistache::Http::Endpoint m_endpoint;
    bool m_stopped = false;
};

} // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::create(const Options& options, Handler handler, Handler overloaded)
{
    try {
        return std::make_unique<PistacheServer>(options, std::move(handler), std::move(overloaded));
    } catch (const std::exception& error) {
        return fail(
            ErrorCode::Unavailable, "can't listen on " + options.address + ":" + std::to_string(options.port) + ": " + error.what());
    }
}

} // namespace bronzeswitch
