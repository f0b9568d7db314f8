// Command-line tool for operators: validates and publishes configurations and shows the state of the system.

#include <config/Configuration.h>
#include <cstdlib>
#include <docopt/docopt.h>
#include <http/HttpClient.h>
#include <infra/HttpAppendLog.h>
#include <iostream>
#include <operator/Publisher.h>
#include <operator/Table.h>

namespace {

using namespace bronzeswitch;
using nlohmann::json;
using Arguments = std::map<std::string, docopt::value>;

constexpr const char* usage = R"(bronzectl: validates and publishes configurations and shows the state of the system.

Usage:
  bronzectl check DIR [--json]
  bronzectl publish DIR [--log-address IP:PORT] [--author NAME] [--dry-run] [--json]
  bronzectl status [--node-address IP:PORT] [--json]
  bronzectl config [--node-address IP:PORT] [--json]
  bronzectl rollouts [--node-address IP:PORT] [--json]
  bronzectl upstreams [--node-address IP:PORT] [--json]
  bronzectl nodes [--node-address IP:PORT] [--json]
  bronzectl audit [--node-address IP:PORT] [--json]
  bronzectl explain ROUTE [--node-address IP:PORT] [--json]
  bronzectl (-h | --help)

Options:
  -h --help                 Show this text.
  --log-address IP:PORT     Address of the platform's log; default: the variable
                            BRONZESWITCH_LOG_ADDRESS.
  --node-address IP:PORT    Operator ports of nodes, separated by commas; default:
                            the variable BRONZESWITCH_NODE_ADDRESS. The first
                            response is shown; upstreams queries all nodes.
  --author NAME             Name for the audit trail; default: the variable USER.
  --dry-run                 Show the difference without publishing it.
  --json                    Print JSON for programs.

Exit codes: 0 success, 1 failure, 2 findings or wrong usage, 3 conflict with another change.
)";

constexpr int exitFindings = 2;
constexpr int exitConflict = 3;

std::string optionOrEnvironment(const Arguments& arguments, const std::string& option, const char* variable)
{
    if (arguments.at(option).isString())
        return arguments.at(option).asString();
    const char* value = std::getenv(variable);
    return value ? value : "";
}

int printFindings(const Findings& findings, bool asJson)
{
    if (!asJson) {
        std::cerr << format(findings) << findings.size() << " findings\n";
        return exitFindings;
    }
    auto list = json::array();
    for (const auto& finding : findings)
        list.push_back({ { "place", finding.place }, { "message", finding.message } });
    std::cout << json { { "findings", list } }.dump(2) << "\n";
    return exitFindings;
}

int printError(const std::string& message)
{
    std::cerr << "bronzectl: " << message << "\n";
    return EXIT_FAILURE;
}

tl::expected<ConfigDocument, Findings> loadAndValidate(const std::string& directory)
{
    auto document = ConfigDocument::load(directory);
    if (!document)
        return document;
    const auto configuration = Configuration::create(*document, 1);
    if (!configuration)
        return tl::unexpected(configuration.error());
    return document;
}

int check(const Arguments& arguments, bool asJson)
{
    const auto document = loadAndValidate(arguments.at("DIR").asString());
    if (!document)
        return printFindings(document.error(), asJson);
    std::cout << (asJson ? json { { "findings", json::array() } }.dump(2)
                         : "no findings in " + std::to_string(document->size()) + " entries")
              << "\n";
    return EXIT_SUCCESS;
}

int publish(const Arguments& arguments, bool asJson)
{
    const auto document = loadAndValidate(arguments.at("DIR").asString());
    if (!document)
        return printFindings(document.error(), asJson);
    const auto address = optionOrEnvironment(arguments, "--log-address", "BRONZESWITCH_LOG_ADDRESS");
    if (address.empty())
        return printError("no address of the log: set --log-address or BRONZESWITCH_LOG_ADDRESS");
    auto author = optionOrEnvironment(arguments, "--author", "USER");
    if (author.empty())
        author = "unnamed";
    Publisher<HttpAppendLog> publisher(std::make_shared<HttpAppendLog>(address));
    const auto planned = publisher.plan(*document);
    if (!planned)
        return printError(planned.error().message);
    const auto current = publisher.loadState();
    if (!asJson)
        std::cout << "compared with revision " << planned->baseRevision << ":\n"
                  << (planned->delta.isEmpty() ? "no difference\n" : describeChange((*current)->document(), planned->delta));
    if (arguments.at("--dry-run").asBool())
        return EXIT_SUCCESS;
    const auto published = publisher.publish(*planned, author);
    if (!published) {
        std::cerr << "bronzectl: not published: " << published.error().message << "\n";
        return published.error().code == ErrorCode::Conflict ? exitConflict : EXIT_FAILURE;
    }
    if (asJson)
        std::cout << json {
            { "base", published->baseRevision }, { "revision", published->revision }, { "change", toJson(published->delta) }
        }.dump(2) << "\n";
    else
        std::cout << "revision " << published->revision << " was accepted\n";
    return EXIT_SUCCESS;
}

std::vector<std::string> splitAddresses(const std::string& list)
{
    std::vector<std::string> addresses;
    for (size_t start = 0; start < list.size();) {
        const auto end = std::min(list.find(',', start), list.size());
        addresses.push_back(list.substr(start, end - start));
        start = end + 1;
    }
    return addresses;
}

Result<json> fetchJson(const std::string& address, const std::string& path)
{
    const auto response = httpCall({ "GET", path, {}, "", "" }, address, {});
    if (!response)
        return fail(ErrorCode::Unavailable, address + ": " + response.error().message);
    if (!response->isSuccess())
        return fail(ErrorCode::NotFound, address + " responded to " + path + " with status " + std::to_string(response->status));
    auto value = json::parse(response->body, nullptr, false);
    if (value.is_discarded())
        return fail(ErrorCode::Protocol, address + " responded with invalid JSON");
    return value;
}

// Queries the nodes in order. Returns the first response, or with fromAllNodes the lists of all responses in one.
Result<json> queryNodes(const std::vector<std::string>& addresses, const std::string& path, bool fromAllNodes)
{
    Result<json> result = fail(ErrorCode::InvalidArgument, "no address of a node: set --node-address or BRONZESWITCH_NODE_ADDRESS");
    auto merged = json::array();
    bool hasResponse = false;
    for (const auto& address : addresses) {
        result = fetchJson(address, path);
        if (!result)
            continue;
        if (!fromAllNodes)
            return result;
        hasResponse = true;
        merged.insert(merged.end(), result->begin(), result->end());
    }
    return hasResponse ? Result<json>(merged) : result;
}

void printFields(const json& object)
{
    for (const auto& [name, value] : object.items())
        std::cout << name << ": " << (value.is_string() ? value.get<std::string>() : value.dump()) << "\n";
}

// A command that shows the response to one GET request, as a table if it has columns.
struct View {
    const char* command;
    const char* path;
    std::vector<Column> columns;
    bool fromAllNodes = false;
};

const std::vector<View> views {
    { "status", "/v1/status", {} },
    { "config", "/v1/config", {} },
    { "rollouts", "/v1/rollouts",
        { { "rollout", "ROLLOUT" }, { "route", "ROUTE" }, { "from", "FROM" }, { "to", "TO" }, { "stage", "STAGE" }, { "share", "SHARE" },
            { "deadline", "DEADLINE" }, { "reason", "REASON" }, { "alarm", "ALARM" } } },
    { "upstreams", "/v1/upstreams",
        { { "upstream", "UPSTREAM" }, { "version", "VERSION" }, { "in_flight", "IN-FLIGHT" }, { "limit", "LIMIT" },
            { "between_tokens_ms", "TOKEN-MS" }, { "home", "HOME" } },
        true },
    { "nodes", "/v1/nodes",
        { { "node", "NODE" }, { "data_centre", "DATA-CENTRE" }, { "live", "LIVE" }, { "ready", "READY" }, { "draining", "DRAINING" },
            { "revision", "REVISION" }, { "ledger_next", "LOG-NEXT" } } },
    { "audit", "/v1/audit",
        { { "offset", "OFFSET" }, { "time_ms", "TIME-MS" }, { "author", "AUTHOR" }, { "action", "ACTION" }, { "accepted", "ACCEPTED" },
            { "detail", "DETAIL" } } },
};

int show(const Arguments& arguments, const View& view, bool asJson)
{
    const auto addresses = splitAddresses(optionOrEnvironment(arguments, "--node-address", "BRONZESWITCH_NODE_ADDRESS"));
    const auto value = queryNodes(addresses, view.path, view.fromAllNodes);
    if (!value)
        return printError(value.error().message);
    if (asJson)
        std::cout << value->dump(2) << "\n";
    else if (view.columns.empty())
        printFields(*value);
    else
        std::cout << formatTable(*value, view.columns);
    return EXIT_SUCCESS;
}

int explain(const Arguments& arguments, bool asJson)
{
    const auto path = "/v1/explain?route=" + arguments.at("ROUTE").asString();
    const auto addresses = splitAddresses(optionOrEnvironment(arguments, "--node-address", "BRONZESWITCH_NODE_ADDRESS"));
    const auto value = queryNodes(addresses, path, false);
    if (!value)
        return printError(value.error().message);
    if (asJson)
        std::cout << value->dump(2) << "\n";
    else
        printFields(*value);
    return EXIT_SUCCESS;
}

int run(const Arguments& arguments)
{
    const bool asJson = arguments.at("--json").asBool();
    if (arguments.at("check").asBool())
        return check(arguments, asJson);
    if (arguments.at("publish").asBool())
        return publish(arguments, asJson);
    if (arguments.at("explain").asBool())
        return explain(arguments, asJson);
    for (const auto& view : views) {
        if (arguments.at(view.command).asBool())
            return show(arguments, view, asJson);
    }
    return exitFindings;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    for (const auto& argument : arguments) {
        if (argument == "-h" || argument == "--help") {
            std::cout << usage;
            return EXIT_SUCCESS;
        }
    }
    try {
        return run(docopt::docopt_parse(usage, arguments, false, false));
    } catch (const std::exception& error) {
        std::cerr << "bronzectl: wrong usage, see --help: " << error.what() << "\n";
        return exitFindings;
    }
}
