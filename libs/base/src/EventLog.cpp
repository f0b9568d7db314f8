#include <array>
#include <base/EventLog.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace bronzeswitch {

const char* toString(EventLevel level)
{
    switch (level) {
    case EventLevel::Info:
        return "info";
    case EventLevel::Warning:
        return "warning";
    case EventLevel::Error:
        break;
    }
    return "error";
}

namespace {

constexpr std::array catalogue { events::started, events::stopping, events::stopped, events::drainTimedOut, events::ready,
    events::settingsReloaded, events::taskFailed, events::configInForce, events::configInvalid, events::logUnreachable,
    events::logReachable, events::stateFromPeer, events::snapshotConfirmed, events::snapshotFailed, events::routingInForce,
    events::routingInvalid, events::recordSkipped, events::upstreamsChanged, events::dependencyLost, events::dependencyRegained,
    events::stateFetched, events::sourceRestored, events::routingRead, events::removalDelayed, events::routingOutdated, events::pathsLost,
    events::pathsRegained, events::membersChanged, events::delegateChanged, events::fleetCounted, events::nodesExpired, events::homeTaken,
    events::homeLeft, events::upstreamsSuspected, events::upstreamNotice, events::upstreamCold, events::upstreamWarm,
    events::coldStartShareChanged, events::promptsQuarantined, events::evacuationBegan, events::evacuationEnded, events::limitReached,
    events::overloadBegan, events::overloadEnded, events::capacityLearned, events::upstreamUnreachable, events::answerDropped,
    events::streamResumed, events::outcomeUnclear, events::rolloutStep, events::rolloutAlarm, events::rolloutTakenBack,
    events::rolloutFinished, events::rolloutRecorded, events::orderAccepted, events::orderRefused, events::requestDispatched,
    events::requestAnswered, events::requestRefused, events::requestFailed, events::requestRejected, events::dispatchUnsuccessful,
    events::callerLeft, events::bodyGivenUp };

log4cplus::Logger& logger()
{
    static log4cplus::Initializer initializer;
    static log4cplus::Logger instance = [] {
        auto created = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("bronzeswitch"));
        created.setLogLevel(log4cplus::OFF_LOG_LEVEL);
        return created;
    }();
    return instance;
}

} // namespace

std::span<const Event> eventCatalogue() { return catalogue; }

EventLog::EventLog(std::string node)
    : m_node(std::move(node))
{
}

void EventLog::write(const Event& event, std::string_view details) const
{
    auto& eventLogger = logger();
    const std::string line
        = std::to_string(event.number) + " " + event.name + " node=" + m_node + (details.empty() ? "" : " ") + std::string(details);
    switch (event.level) {
    case EventLevel::Info:
        LOG4CPLUS_INFO(eventLogger, line);
        break;
    case EventLevel::Warning:
        LOG4CPLUS_WARN(eventLogger, line);
        break;
    case EventLevel::Error:
        LOG4CPLUS_ERROR(eventLogger, line);
        break;
    }
}

void EventLog::enable()
{
    constexpr bool toStandardError = true;
    constexpr bool flushEach = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(toStandardError, flushEach));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %m%n")));
    logger().addAppender(appender);
    logger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

} // namespace bronzeswitch
