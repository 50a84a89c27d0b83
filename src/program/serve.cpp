// `ashbeam serve`: one router, from its configuration to the signal that stops it.
#include <Poco/ErrorHandler.h>
#include <Poco/Exception.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "program/access_config_loader.hpp"
#include "program/commands.hpp"
#include "program/log_sink.hpp"
#include "program/router_limits.hpp"
#include "program/startup_configuration.hpp"
#include "routing/service.hpp"
#include "terms/router_settings_reader.hpp"

namespace ashbeam {

namespace {

// Topics of detailed log lines from the start, see DetailLog; SIGUSR1 switches all of them on and off in
// service.
constexpr const char* kDetailLogVariable = "ASHBEAM_LOG";
constexpr Duration kSignalPollInterval = Duration::ms(20);
constexpr std::size_t kMinSockets = 64;

// Set by signal handlers, cleared by the event loop.
volatile std::sig_atomic_t stop_requested = 0;
volatile std::sig_atomic_t reload_requested = 0;
volatile std::sig_atomic_t detail_log_requested = 0;

bool take_request(volatile std::sig_atomic_t& request) {
  const bool requested = request != 0;
  if (requested) request = 0;
  return requested;
}

void install_signal_handlers() {
  std::signal(SIGPIPE, SIG_IGN);
  for (const int signal : {SIGTERM, SIGINT}) std::signal(signal, [](int) { stop_requested = 1; });
  std::signal(SIGUSR1, [](int) { detail_log_requested = 1; });
  std::signal(SIGHUP, [](int) { reload_requested = 1; });
}

// Logs what callbacks of the event loop throw, so that no exception ends the loop.
class LoopErrorLog : public Poco::ErrorHandler {
 public:
  void exception(const Poco::Exception& error) override {
    spdlog::error("exception: {}", error.displayText());
  }
  void exception(const std::exception& error) override { spdlog::error("exception: {}", error.what()); }
  void exception() override { spdlog::error("exception of an unknown kind"); }
};

void log_line(std::string_view line) { spdlog::info("{}", line); }

StartupConfiguration read_configuration() {
  return read_startup_configuration([](const char* name) -> const char* { return std::getenv(name); });
}

// The machine may grant fewer descriptors than the configuration says.
std::size_t available_sockets(std::size_t configured) {
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0) return configured;
  return std::min<std::size_t>(configured, std::max<rlim_t>(descriptors.rlim_cur, kMinSockets));
}

RouterSettings read_settings_and_log_warnings(const SettingsMap& settings) {
  std::vector<std::string> warnings;
  RouterSettings router = read_router_settings(settings, &warnings);
  for (const std::string& warning : warnings) spdlog::warn("{}", warning);
  return router;
}

// A router's process between its start and its end.
class Process {
 public:
  explicit Process(const ServeOptions& options)
      : configuration_(read_configuration()),
        router_settings_(read_settings_and_log_warnings(configuration_.settings)),
        wire_settings_(read_wire_settings(configuration_.settings)),
        limits_(make_limits(available_sockets(configuration_.max_sockets), wire_settings_, router_settings_)),
        service_(loop_, limits_, router_settings_, wire_settings_, configuration_.instance, log_line),
        signal_timer_(loop_, [this] { handle_signals(); }) {
    if (options.operator_file.empty()) return;
    access_loader_ =
        std::make_unique<AccessConfigLoader>(loop_, service_, wire_settings_, router_settings_,
                                             options.operator_file, configuration_.instance.seed, log_line);
  }

  void run() {
    const char* const topics = std::getenv(kDetailLogVariable);
    service_.detail_log().enable(topics ? topics : "");
    service_.start();
    spdlog::info("{} serves at {}: {} request classes, router {} of {}", configuration_.instance.name,
                 configuration_.instance.listen_address, router_settings_.request_classes.size(),
                 router_settings_.router_index, router_settings_.router_count);
    signal_timer_.schedule_after(Duration());
    loop_.run();
    spdlog::info("stopped");
  }

 private:
  void handle_signals() {
    signal_timer_.schedule_after(
        kSignalPollInterval);  // first: what follows may throw, and the next signal still counts
    if (take_request(stop_requested)) stop();
    if (take_request(detail_log_requested)) toggle_detail_log();
    if (take_request(reload_requested)) reload();
  }

  void stop() {
    spdlog::info("stop signal received");
    service_.shut_down([this] { loop_.stop(); });
  }

  void toggle_detail_log() {
    DetailLog& detail = service_.detail_log();
    detail.enable(detail.is_enabled() ? "" : "all");
    spdlog::info("detailed lines {}", detail.is_enabled() ? "on" : "off");
  }

  void reload() {
    if (service_.shutting_down()) {
      spdlog::info("configuration not read again: shutting down");
      return;
    }
    reload_configuration();
    if (access_loader_) access_loader_->reload();
  }

  // The configuration is read and checked as a whole before anything of it counts.
  void reload_configuration() {
    try {
      const StartupConfiguration next = read_configuration();
      read_router_settings(next.settings);
      read_wire_settings(next.settings);
      service_.change_addresses(next.instance.discovery_address, next.instance.release_platform_address);
      const bool same_settings = next.settings == configuration_.settings;
      spdlog::info("configuration read again: discovery {}, release platform {}{}",
                   next.instance.discovery_address, next.instance.release_platform_address,
                   same_settings ? "" : "; other settings count from the next start");
    } catch (const std::exception& error) {
      spdlog::error("configuration can't be used, the old one stands: {}", error.what());
    }
  }

  StartupConfiguration configuration_;
  RouterSettings router_settings_;
  WireSettings wire_settings_;
  Limits limits_;
  EventLoop loop_;
  Service service_;
  std::unique_ptr<AccessConfigLoader> access_loader_;  // null where no operator's file is named
  Timer signal_timer_;
};

}  // namespace

int serve(const ServeOptions& options) {
  install_signal_handlers();
  LoopErrorLog loop_errors;
  Poco::ErrorHandler::set(&loop_errors);
  spdlog::set_default_logger(std::make_shared<spdlog::logger>("ashbeam", std::make_shared<LogSink>()));
  if (options.json_log) spdlog::set_formatter(std::make_unique<JsonLineFormatter>());
  else spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  try {
    Process(options).run();
    return 0;
  } catch (const Poco::Exception& error) {
    std::fprintf(stderr, "ashbeam: %s\n", error.displayText().c_str());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ashbeam: %s\n", error.what());
  }
  return 1;
}

}  // namespace ashbeam
