#include <base/HttpStatus.h>
#include <http/HttpClient.h>

#include <curl/curl.h>
#include <memory>
#include <mutex>

namespace bronzeswitch {

namespace {

using EasyHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using MultiHandle = std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)>;
using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

constexpr int pollIntervalMs = 20;
constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;

void initializeCurlOnce()
{
    static std::once_flag flag;
    std::call_once(flag, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

// A call in progress: its libcurl handles and what has arrived of the response.
class Call {
public:
    Call(const HttpRequest& request, const std::string& authority, const CallOptions& options)
        : m_request(request)
        , m_options(options)
        , m_easy(curl_easy_init(), curl_easy_cleanup)
        , m_multi(curl_multi_init(), curl_multi_cleanup)
        , m_headers(nullptr, curl_slist_free_all)
    {
        configureRequest("http://" + authority + request.path);
    }

    ~Call()
    {
        if (m_isAttached)
            curl_multi_remove_handle(m_multi.get(), m_easy.get());
    }

    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

    tl::expected<HttpResponse, CallError> run()
    {
        curl_multi_add_handle(m_multi.get(), m_easy.get());
        m_isAttached = true;
        m_lastActivity = std::chrono::steady_clock::now();
        int running = 1;
        while (running) {
            curl_multi_perform(m_multi.get(), &running);
            if (!running)
                break;
            if (m_options.isCancelled && m_options.isCancelled())
                return makeError(ErrorCode::Cancelled, "cancelled");
            if (std::chrono::steady_clock::now() - m_lastActivity > m_options.idleTimeout)
                return makeError(ErrorCode::Timeout, "no data received within the idle timeout");
            curl_multi_poll(m_multi.get(), nullptr, 0, pollIntervalMs, nullptr);
        }
        return takeResult();
    }

private:
    void configureRequest(const std::string& url)
    {
        auto* easy = m_easy.get();
        for (const auto& header : m_request.headers)
            addHeader(header.name + ": " + header.value);
        addHeader("Expect:");
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(m_options.connectTimeout.count()));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(m_options.totalTimeout.count()));
        if (!m_request.body.empty() || m_request.method == "POST") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, m_request.body.c_str());
        }
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, m_headers.get());
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Call::onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Call::onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    }

    void addHeader(const std::string& line)
    {
        auto* extended = curl_slist_append(m_headers.get(), line.c_str());
        static_cast<void>(m_headers.release());
        m_headers.reset(extended);
    }

    static size_t onBody(char* data, size_t size, size_t count, void* self)
    {
        return static_cast<Call*>(self)->receiveBody({ data, size * count });
    }

    static size_t onHeader(char* data, size_t size, size_t count, void* self)
    {
        return static_cast<Call*>(self)->receiveHeader({ data, size * count });
    }

    size_t receiveBody(std::string_view data)
    {
        recordActivity();
        long status = 0;
        curl_easy_getinfo(m_easy.get(), CURLINFO_RESPONSE_CODE, &status);
        const bool isSuccess = status >= firstSuccess && status < firstRedirect;
        if (!m_options.onData || !isSuccess) {
            m_response.body.append(data);
            return countKeptBytes(data.size());
        }
        m_isStoppedByReceiver = !m_options.onData(data);
        return m_isStoppedByReceiver ? 0 : data.size();
    }

    // Counts bytes of the response that are kept. Returns the result of libcurl's callback: any number but the given one ends the call.
    size_t countKeptBytes(size_t size)
    {
        m_keptBytes += size;
        m_isTooLarge = m_keptBytes > m_options.maxResponseBytes;
        return m_isTooLarge ? 0 : size;
    }

    size_t receiveHeader(std::string_view line)
    {
        recordActivity();
        const bool isEmpty = line == "\r\n" || line == "\n";
        m_isHeadComplete = isEmpty || (m_isHeadComplete && !line.starts_with("HTTP/")); // Trailer fields may follow.
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
            return countKeptBytes(line.size());
        auto value = line.substr(colon + 1);
        while (!value.empty() && value.front() == ' ')
            value.remove_prefix(1);
        while (!value.empty() && (value.back() == '\r' || value.back() == '\n'))
            value.remove_suffix(1);
        m_response.headers.push_back({ std::string(line.substr(0, colon)), std::string(value) });
        return countKeptBytes(line.size());
    }

    void recordActivity()
    {
        m_hasResponseStarted = true;
        m_lastActivity = std::chrono::steady_clock::now();
    }

    CallStage stage() const
    {
        if (m_hasResponseStarted)
            return CallStage::ResponseStarted;
        long requestBytes = 0;
        curl_easy_getinfo(m_easy.get(), CURLINFO_REQUEST_SIZE, &requestBytes);
        return requestBytes > 0 ? CallStage::Sent : CallStage::NotSent;
    }

    tl::unexpected<CallError> makeError(ErrorCode code, std::string message) const
    {
        return tl::unexpected<CallError>(CallError { code, stage(), std::move(message) });
    }

    tl::expected<HttpResponse, CallError> takeResult()
    {
        int remaining = 0;
        const auto* message = curl_multi_info_read(m_multi.get(), &remaining);
        const auto result = message ? message->data.result : CURLE_GOT_NOTHING;
        if (m_isTooLarge)
            return makeError(ErrorCode::Protocol, "response too large");
        if (m_isStoppedByReceiver)
            return makeError(ErrorCode::Cancelled, "stopped by the receiver of the body");
        if (result == CURLE_OPERATION_TIMEDOUT)
            return makeError(ErrorCode::Timeout, curl_easy_strerror(result));
        if (result != CURLE_OK)
            return makeError(ErrorCode::Unavailable, curl_easy_strerror(result));
        // libcurl takes a connection that closes within the head for the end of a response without a length.
        if (!m_isHeadComplete)
            return makeError(ErrorCode::Unavailable, "the head of the response is incomplete");
        long status = 0;
        curl_easy_getinfo(m_easy.get(), CURLINFO_RESPONSE_CODE, &status);
        m_response.status = static_cast<int>(status);
        if (!httpstatus::isFinal(m_response.status))
            return makeError(ErrorCode::Protocol, "status " + std::to_string(status) + " is not a final one of HTTP");
        return m_response;
    }

    const HttpRequest& m_request;
    const CallOptions& m_options;
    EasyHandle m_easy;
    MultiHandle m_multi;
    HeaderList m_headers;
    HttpResponse m_response;
    std::chrono::steady_clock::time_point m_lastActivity;
    bool m_isAttached = false;
    bool m_hasResponseStarted = false;
    bool m_isStoppedByReceiver = false;
    bool m_isTooLarge = false;
    bool m_isHeadComplete = false; /**< The empty line at the end of the head has arrived. */
    size_t m_keptBytes = 0;
};

} // namespace

tl::expected<HttpResponse, CallError> httpCall(const HttpRequest& request, const std::string& authority, const CallOptions& options)
{
    initializeCurlOnce();
    Call call(request, authority, options);
    return call.run();
}

} // namespace bronzeswitch
