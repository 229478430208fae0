// Measures what versions of a large configuration cost a daemon, for
// docs/incidents/2026-12-07-documents-fill-links.md. Prints a Markdown table.
#include "adapters/peers/messagecodec.h"
#include "platform/documents.h"
#include "relayd/documents.h"

#include <fmt/format.h>

#include <cstdio>
#include <ctime>
#include <functional>
#include <string>

#include <sys/resource.h>

namespace tamarack {

namespace {

/// Returns a configuration in the platform's format.
std::string makeText(std::uint64_t version, std::size_t routes)
{
    std::string text = fmt::format(R"({{"Version":{},"Routes":[)", version);
    for (std::size_t i = 0; i < routes; ++i)
        text += fmt::format(
            R"({}{{"Name":"r-{:x}","Host":"shop.example","PathPrefix":"/{:x}/","Type":"streaming",)"
            R"("TimeoutMs":4000,"TargetLatencyMs":500,"Priority":1,"Service":"app",)"
            R"("MaxAttempts":1,"Public":false,"SessionAffinity":true,"Resumable":false,)"
            R"("TargetGapMs":300}})",
            i == 0 ? "" : ",", hash64(std::to_string(i)) >> 24U,
            hash64("p" + std::to_string(i)) >> 24U);
    text += R"(],"Services":[{"Name":"app","MaxConnections":470}],"Tenants":[]})";
    return text;
}

PreciseMicros processorTime()
{
    timespec time {};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::seconds {time.tv_sec} + std::chrono::nanoseconds {time.tv_nsec};
}

/// Returns the mean processor time of a call.
PreciseMicros timePerCall(const std::function<void()> &call)
{
    constexpr int calls = 20;
    const PreciseMicros begin = processorTime();
    for (int i = 0; i < calls; ++i)
        call();
    return (processorTime() - begin) / calls;
}

struct Cost
{
    std::string step_;
    PreciseMicros time_ {};
    std::size_t bytes_ = 0;
};

/// A daemon with a configuration, and what it sends to a daemon without one.
struct Sender
{
    RelayDocuments formats_ = platformFormats();
    BlockingQueue<RelayEvent> queue_;
    DocumentReader reader_ {formats_, queue_, LogPort {[](const LogEvent &) {
                            }},
                            Millis {3000}};

    static RelayDocuments platformFormats()
    {
        RelayDocuments formats;
        formats.configKey_ = "config";
        formats.instancePrefix_ = "instances/";
        formats.decodeConfig_ = platform::decodeConfig;
        formats.decodeInstance_ = platform::decodeInstance;
        return formats;
    }
};

std::vector<Cost> costsOf(std::size_t routes)
{
    const std::string text = makeText(2, routes);
    std::vector<Cost> costs;
    std::optional<RelayConfig> config;
    costs.push_back({"decode", timePerCall([&] {
                         boost::leaf::try_handle_all(
                             [&]() -> Result<void> {
                                 BOOST_LEAF_ASSIGN(config, platform::decodeConfig(text));
                                 return {};
                             },
                             [] { std::exit(EXIT_FAILURE); });
                     }),
                     text.size()});
    costs.push_back({"find no route",
                     timePerCall([&] { (void)findRoute(*config, "shop.example", "/other/x"); }),
                     0});
    Sender sender;
    configHandlers(sender.reader_)
        .onListing_({FeedEntry {StoreKey {"config"}, Revision {1}, text}}, Revision {1});
    const DocumentsRequest request {"127.0.0.1:1", {FeedPosition {"store.config", {}}}};
    std::string message;
    costs.push_back(
        {"send to a peer", timePerCall([&] {
             message = encodePeerMessage(
                 {HostId {"h"},
                  makeDocumentsReply(sender.reader_, request, std::chrono::steady_clock::now())});
         }),
         message.size()});
    return costs;
}

} // namespace

} // namespace tamarack

int main()
{
    using namespace tamarack;
    fmt::print("| routes | step | processor ms | ratio to 1,500 routes | bytes |\n"
               "|---|---|---|---|---|\n");
    const std::vector<Cost> few = costsOf(1500);
    for (const std::size_t routes : {1500U, 3000U, 4200U}) {
        const std::vector<Cost> costs = costsOf(routes);
        for (std::size_t i = 0; i < costs.size(); ++i)
            fmt::print("| {} | {} | {:.2f} | {:.2f} | {} |\n", routes, costs[i].step_,
                       costs[i].time_.count() / 1000.0, costs[i].time_ / few[i].time_,
                       costs[i].bytes_);
    }
    rusage usage {};
    ::getrusage(RUSAGE_SELF, &usage);
    fmt::print("memory at the peak: {} KB\n", usage.ru_maxrss);
    return 0;
}
