// Implements `ashbeam serve`: runs one router until SIGTERM or SIGINT. SIGHUP reloads the configuration and
// the operator file, SIGUSR1 enables or disables the detail log.
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

// The environment variable with the topics of the detail log that are enabled at startup, see DetailLog.
// SIGUSR1 enables all topics, or disables them, while the router runs.
constexpr const char* kDetailLogVariable = "ASHBEAM_LOG";
constexpr Duration kSignalPollInterval = Duration::ms(20);
constexpr std::size_t kMinSockets = 64;

// Set by the signal handlers and cleared on the event loop.
volatile std::sig_atomic_t stop_requested = 0;
volatile std::sig_atomic_t reload_requested = 0;
volatile std::sig_atomic_t detail_log_toggle_requested = 0;

// Returns whether `flag` is set, and clears it.
bool consume_flag(volatile std::sig_atomic_t& flag) {
  const bool is_set = flag != 0;
  if (is_set) flag = 0;
  return is_set;
}

void install_signal_handlers() {
  std::signal(SIGPIPE, SIG_IGN);
  for (const int signal : {SIGTERM, SIGINT}) std::signal(signal, [](int) { stop_requested = 1; });
  std::signal(SIGUSR1, [](int) { detail_log_toggle_requested = 1; });
  std::signal(SIGHUP, [](int) { reload_requested = 1; });
}

// Logs exceptions that callbacks of the event loop throw, so that they do not end the loop.
class LoopErrorLog : public Poco::ErrorHandler {
 public:
  void exception(const Poco::Exception& error) override {
    spdlog::error("event loop: exception in a callback, event loop continues: {}", error.displayText());
  }
  void exception(const std::exception& error) override {
    spdlog::error("event loop: exception in a callback, event loop continues: {}", error.what());
  }
  void exception() override {
    spdlog::error("event loop: exception of unknown type in a callback, event loop continues");
  }
};

void log_line(std::string_view line) { spdlog::info("{}", line); }

StartupConfiguration read_configuration() {
  return read_startup_configuration([](const char* name) -> const char* { return std::getenv(name); });
}

// Returns the configured limits, with no more sockets than the process's limit of file descriptors. That
// limit counts as kMinSockets if it is lower.
ProcessLimits available_limits(ProcessLimits configured) {
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0) return configured;
  configured.max_sockets =
      std::min<std::size_t>(configured.max_sockets, std::max<rlim_t>(descriptors.rlim_cur, kMinSockets));
  return configured;
}

// Reads the settings, and logs a warning for each value that was replaced.
RouterSettings read_settings_and_log_warnings(const SettingsMap& settings) {
  std::vector<std::string> warnings;
  RouterSettings router = read_router_settings(settings, &warnings);
  for (const std::string& warning : warnings) spdlog::warn("{}", warning);
  return router;
}

// A router with its configuration, event loop and signal handling.
class RouterProcess {
 public:
  explicit RouterProcess(const ServeOptions& options)
      : configuration_(read_configuration()),
        router_settings_(read_settings_and_log_warnings(configuration_.settings)),
        wire_settings_(read_wire_settings(configuration_.settings)),
        limits_(make_limits(available_limits(configuration_.limits), wire_settings_, router_settings_)),
        service_(loop_, limits_, router_settings_, wire_settings_, configuration_.instance, log_line),
        signal_timer_(loop_, [this] { handle_signals(); }) {
    if (options.operator_file.empty()) return;
    access_loader_ =
        std::make_unique<AccessConfigLoader>(loop_, service_, wire_settings_, router_settings_,
                                             options.operator_file, configuration_.instance.seed, log_line);
  }

  // Serves until a stop signal, and then until the shutdown is complete.
  void run() {
    const char* const topics = std::getenv(kDetailLogVariable);
    service_.detail_log().enable(topics ? topics : "");
    service_.start();
    spdlog::info("router {}: started, listening at {}; {} request classes, router index {} of {} routers",
                 configuration_.instance.name, configuration_.instance.listen_address,
                 router_settings_.request_classes.size(), router_settings_.router_index,
                 router_settings_.router_count);
    signal_timer_.schedule_after(Duration());
    loop_.run();
    spdlog::info("router {}: stopped", configuration_.instance.name);
  }

 private:
  void handle_signals() {
    // Scheduled first, because the following calls may throw and later signals must still be handled.
    signal_timer_.schedule_after(kSignalPollInterval);
    if (consume_flag(stop_requested)) stop();
    if (consume_flag(detail_log_toggle_requested)) toggle_detail_log();
    if (consume_flag(reload_requested)) reload();
  }

  void stop() {
    spdlog::info("router {}: stop signal received, shutting down", configuration_.instance.name);
    service_.shut_down([this] { loop_.stop(); });
  }

  void toggle_detail_log() {
    DetailLog& detail = service_.detail_log();
    detail.enable(detail.is_enabled() ? "" : "all");
    spdlog::info("detail log: all topics {}", detail.is_enabled() ? "enabled" : "disabled");
  }

  void reload() {
    if (service_.is_shutting_down()) {
      spdlog::info("configuration: reload skipped, router is shutting down");
      return;
    }
    reload_configuration();
    if (access_loader_) access_loader_->reload();
  }

  // Reads and checks the whole configuration before it applies the addresses. Other changes need a restart.
  void reload_configuration() {
    try {
      const StartupConfiguration next = read_configuration();
      read_router_settings(next.settings);
      read_wire_settings(next.settings);
      service_.change_addresses(next.instance.discovery_address, next.instance.release_platform_address);
      const bool settings_unchanged = next.settings == configuration_.settings;
      spdlog::info("configuration: reloaded, discovery {}, release platform {}{}",
                   next.instance.discovery_address, next.instance.release_platform_address,
                   settings_unchanged ? "" : "; changed settings take effect at the next start");
    } catch (const std::exception& error) {
      spdlog::error("configuration: reload failed, former configuration stays in force: {}", error.what());
    }
  }

  StartupConfiguration configuration_;
  RouterSettings router_settings_;
  WireSettings wire_settings_;
  Limits limits_;
  EventLoop loop_;
  Service service_;
  std::unique_ptr<AccessConfigLoader> access_loader_;  // null without an operator file
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
    RouterProcess(options).run();
    return 0;
  } catch (const Poco::Exception& error) {
    std::fprintf(stderr, "ashbeam: %s\n", error.displayText().c_str());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ashbeam: %s\n", error.what());
  }
  return 1;
}

}  // namespace ashbeam
