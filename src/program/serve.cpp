// One router: reads what the machine tells it, serves until it is told to stop.
#include <Poco/ErrorHandler.h>
#include <Poco/Exception.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string_view>

#include "program/access_config_loader.hpp"
#include "program/commands.hpp"
#include "program/environment.hpp"
#include "program/log_sink.hpp"
#include "routing/service.hpp"
#include "terms/router_settings_reader.hpp"

namespace ashbeam {

namespace {

volatile std::sig_atomic_t stop_asked = 0, reading_asked = 0, detail_asked = 0;

// Topics of detailed log lines from the start, see DetailLog; SIGUSR1 switches all of them on and off in
// service.
constexpr const char* kLogVariable = "ASHBEAM_LOG";

class Complaints : public Poco::ErrorHandler {  // no exception ends the loop
 public:
  void exception(const Poco::Exception& e) override { spdlog::error("exception: {}", e.displayText()); }
  void exception(const std::exception& e) override { spdlog::error("exception: {}", e.what()); }
  void exception() override { spdlog::error("exception of an unknown kind"); }
};

Start read() {
  return read_start([](const char* name) -> const char* { return std::getenv(name); });
}

// The configuration is read whole and checked before anything of it counts.
void read_again(const Start& standing, Service& service) {
  try {
    const Start next = read();
    read_router_settings(next.settings);
    read_wire_settings(next.settings);
    service.move_to(next.site.discovery, next.site.desk);
    spdlog::info("configuration read again: discovery {}, desk {}{}", next.site.discovery, next.site.desk,
                 next.settings == standing.settings ? "" : "; other settings count from the next start");
  } catch (const std::exception& e) {
    spdlog::error("configuration can't be used, the old one stands: {}", e.what());
  }
}

int run(const ServeOptions& options) {
  Start start = read();
  rlimit descriptors{};  // the machine may grant fewer than the configuration says
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0) {
    start.sockets = std::min<std::size_t>(start.sockets, std::max<rlim_t>(descriptors.rlim_cur, 64));
  }
  std::vector<std::string> doubts;
  const RouterSettings terms = read_router_settings(start.settings, &doubts);
  for (const std::string& doubt : doubts) spdlog::warn("{}", doubt);
  const WireSettings door = read_wire_settings(start.settings);
  const Limits limits = limits_for(start.sockets, door, terms);

  EventLoop loop;
  Service service(loop, limits, terms, door, start.site,
                  [](std::string_view line) { spdlog::info("{}", line); });
  std::unique_ptr<AccessConfigLoader> guardian;  // nothing of it is there where no file is named
  if (!options.operators.empty()) {
    guardian =
        std::make_unique<AccessConfigLoader>(loop, service, door, terms, options.operators, start.site.seed,
                                             [](std::string_view line) { spdlog::info("{}", line); });
  }
  const char* const log_wanted = std::getenv(kLogVariable);
  service.detail_log().enable(log_wanted ? log_wanted : "");
  service.start();
  spdlog::info("{} serves at {}: {} path groups, router {} of {}", start.site.name, start.site.listen,
               terms.request_classes.size(), terms.router_index, terms.router_count);

  Timer signals(loop, [&] {
    signals.in(Span::ms(20));  // first: what a signal asks for may fail, and the next must still be heard
    if (stop_asked != 0) {
      stop_asked = 0;
      spdlog::info("told to stop");
      service.wind_down([&] { loop.stop(); });
    }
    if (detail_asked != 0) {
      detail_asked = 0;
      DetailLog& detail = service.detail_log();
      detail.enable(detail.on() ? "" : "all");
      spdlog::info("detailed lines {}", detail.on() ? "on" : "off");
    }
    if (reading_asked != 0) {
      reading_asked = 0;
      if (service.winding_down()) return spdlog::info("configuration not read again: told to stop");
      read_again(start, service);
      if (guardian) guardian->reread();
    }
  });
  signals.in(Span());
  loop.run();
  spdlog::info("stopped");
  return 0;
}

}  // namespace

int serve(const ServeOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  for (const int signal : {SIGTERM, SIGINT}) std::signal(signal, [](int) { stop_asked = 1; });
  std::signal(SIGUSR1, [](int) { detail_asked = 1; });
  std::signal(SIGHUP, [](int) { reading_asked = 1; });
  Complaints complaints;
  Poco::ErrorHandler::set(&complaints);
  spdlog::set_default_logger(std::make_shared<spdlog::logger>("ashbeam", std::make_shared<LogSink>()));
  if (options.json) spdlog::set_formatter(std::make_unique<JsonLines>());
  else spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  try {
    return run(options);
  } catch (const Poco::Exception& e) {
    std::fprintf(stderr, "ashbeam: %s\n", e.displayText().c_str());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "ashbeam: %s\n", e.what());
  }
  return 1;
}

}  // namespace ashbeam
