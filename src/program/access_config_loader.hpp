// Loads the operator file and the files that it names (key sets, certificates), and applies them to the
// router: at startup, on request (SIGHUP) and, for the folder of key sets, whenever its content changes.
//
// A load that fails is logged and leaves the former configuration in force. The files are read on a worker
// thread and applied on the event loop. The listeners, and whether the router has an authorizer, are
// determined at startup; keys, permissions, quotas and certificates can change while the router runs.
#pragma once
#include <cstdint>
#include <memory>
#include <string>

#include "program/operator_config.hpp"
#include "routing/service.hpp"
#include "store/files.hpp"
#include "store/worker.hpp"

namespace ashbeam {

class AccessConfigLoader {
 public:
  // Loads the operator file at `path` and configures `service` accordingly. `service` must outlive the loader
  // and must not have been started. `seed` is the seed of the authorizer's hashes. Throws OperatorConfigError
  // if a file cannot be read or used, FileError or std::runtime_error if this holds for the file of a pinned
  // root, and Poco::Exception if the TLS listener cannot be opened; the program must not start then.
  AccessConfigLoader(EventLoop& loop, Service& service, const WireSettings& wire,
                     const RouterSettings& router, std::string path, std::uint64_t seed, LogFunction log);

  // Starts to load all files again. Returns a number: once completed_loads() has reached it, the current
  // content of the files has been applied or rejected. Returns 0 if nothing is loaded, because the operator
  // file enabled neither calling nor tls at startup.
  std::uint64_t reload();
  // Returns the number of loads that have completed since startup, whether they were applied or rejected.
  std::uint64_t completed_loads() const { return completed_loads_; }

 private:
  enum class Scope { kEverything, kKeySets };

  // The result of reading files on the worker thread.
  struct LoadResult {
    std::string error;       // empty if the load succeeded
    bool unchanged = false;  // the folder of key sets has not changed and was not read
    OperatorConfig config;
    KeyFolder keys;
    std::shared_ptr<TlsCredentials> tls;
  };

  // The input of a load. A task on the worker thread shares its ownership, because the task may outlive the
  // loader.
  struct Source {
    std::string path;  // of the operator file
    Deployment deployment;

    LoadResult load_everything() const;
    // Reads the folder of key sets unless its stamp (see key_folder_stamp) is still `known_stamp`.
    static LoadResult load_key_sets(const std::string& folder, const std::string& known_stamp);
  };

  void configure_service(const LoadResult& loaded, std::uint64_t seed);
  void configure_metadata_verifier();
  // Called by poll_timer_: checks the wall clock and, once per poll interval, the folder of key sets.
  void poll();
  void check_wall_clock();
  // Logs once per load that it has taken longer than kSlowLoadThreshold.
  void warn_if_load_is_slow(Instant now);
  void begin_load();
  void finish_load(const LoadResult& loaded, Scope scope);
  void apply(const LoadResult& loaded, Scope scope);
  // Returns whether the key sets of `loaded` are to be applied as well.
  bool apply_config(const LoadResult& loaded);
  void apply_key_sets(const KeyFolder& folder);
  // Returns whether `loaded` differs from the configuration in force in what is determined at startup.
  bool needs_restart(const LoadResult& loaded) const;

  EventLoop& loop_;
  Service& service_;
  std::shared_ptr<const Source> source_;
  LogFunction log_;
  OperatorConfig config_;         // in force
  std::string key_folder_stamp_;  // of the key sets in force
  std::string last_error_;        // of the last load; empty if it succeeded
  bool loading_ = false;
  bool reload_pending_ = false;  // a reload starts when the current load completes
  bool slow_load_logged_ = false;
  Instant load_started_at_;
  std::uint64_t completed_loads_ = 0;
  Timer poll_timer_;
  // The last member, so that it is destroyed first: completions of its tasks use the other members.
  std::unique_ptr<Worker> worker_;
};

}  // namespace ashbeam
