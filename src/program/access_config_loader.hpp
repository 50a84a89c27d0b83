// Keeps the operator's file and what it names (key sets, certificates) in force while the router runs: loaded
// at the start, on request (SIGHUP) and, for the folder of key sets, when that changes.
//
// What can't be used changes nothing and is logged. Files are read on a thread of their own and applied on
// the event loop. What listens and whether principals are checked is settled at the start; by what they are
// checked is not.
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
  // Loads the file at `path` and sets up `service` by it, which has to outlive the loader and must not have
  // been started. `seed`: for random numbers. Throws OperatorConfigError or FileError where it can't be used:
  // the program does not start on it.
  AccessConfigLoader(EventLoop& loop, Service& service, const WireSettings& wire,
                     const RouterSettings& router, std::string path, std::uint64_t seed, LogFunction log);

  // Loads everything again. What stands in the files now is in force, or has been found unfit, once
  // completed_loads() has reached the number returned; 0 where nothing is to be loaded.
  std::uint64_t reload();
  std::uint64_t completed_loads() const { return completed_loads_; }

 private:
  enum class Scope { kEverything, kKeySets };

  // What the worker has read.
  struct Loaded {
    std::string error;       // empty: the rest can be used
    bool unchanged = false;  // the folder is as it was, and has not been read
    OperatorConfig config;
    KeyFolder keys;
    std::shared_ptr<TlsCredentials> tls;
  };

  // What a job on the worker reads by: it shares the ownership, as the job may outlive the loader.
  struct Source {
    std::string path;
    Deployment deployment;

    Loaded load_everything() const;
    static Loaded load_key_sets(const std::string& folder, const std::string& known_stamp);
  };

  void install(const Loaded& loaded, std::uint64_t seed);
  void install_metadata_verifier();
  void poll();  // the folder of key sets, and the wall clock
  void check_wall_clock();
  void warn_if_load_hangs(Instant now);
  void begin_load();
  void finish_load(const Loaded& loaded, Scope scope);
  void apply(const Loaded& loaded, Scope scope);
  bool apply_config(const Loaded& loaded);
  void apply_key_sets(const KeyFolder& folder);
  bool needs_restart(const Loaded& loaded) const;

  EventLoop& loop_;
  Service& service_;
  std::shared_ptr<const Source> source_;
  LogFunction log_;
  OperatorConfig config_;   // in force
  std::string keys_stamp_;  // of the folder of key sets, as last applied
  std::string last_error_;  // as last logged; empty once a load could be used
  bool loading_ = false;
  bool load_again_ = false;  // once the load under way has finished
  bool hang_logged_ = false;
  Instant load_started_at_;
  std::uint64_t completed_loads_ = 0;
  Timer poll_timer_;
  std::unique_ptr<Worker> worker_;  // last: ends before what its jobs answer to
};

}  // namespace ashbeam
