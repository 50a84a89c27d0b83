// Keeps the operator's file and what it names (key sets, certificates) in force while the router runs: read
// at start, at SIGHUP and, for the key folder, when it changes. What can't be used changes nothing and is
// logged.
#pragma once
#include <cstdint>
#include <memory>
#include <string>

#include "program/operators.hpp"
#include "routing/service.hpp"
#include "store/files.hpp"
#include "store/worker.hpp"

namespace ashbeam {

class AccessConfigLoader {
 public:
  // Throws OperatorsError or FileError where the file can't be used: the program does not start on it.
  AccessConfigLoader(EventLoop& loop, Service& service, const WireSettings& door, const RouterSettings& terms,
                     std::string path, std::uint64_t seed, LogFunction note);
  // Reads all of it again, off the loop. What stands in the files now is in force once taken() has come to
  // the number that this gives; 0 where nothing is read.
  std::uint64_t reread();
  // How many readings have been taken in or found unfit; counted as one begins to be.
  std::uint64_t taken() const { return taken_; }

 private:
  struct Fresh {  // as read by the worker
    std::string problem;
    Operators operators;
    KeyFolder keys;
    std::shared_ptr<TlsCredentials> tls;
  };
  // What a job on the worker reads by: it owns all of it, and may outlive us.
  struct Reading {
    std::string path;
    WireSettings door;
    RouterSettings terms;
    Fresh read(const std::string& keys_only) const;
  };
  void take(const Fresh& fresh, bool all);
  void take_keys(const KeyFolder& folder);
  void look();  // at the key folder, and at the clock
  void begin_reading();
  EventLoop& loop_;
  Service& service_;
  std::shared_ptr<const Reading> reading_by_;
  LogFunction note_;
  Operators standing_;
  std::string stamp_, complaint_;  // of the key folder, as last read; the last one told
  bool reading_ = false, again_ = false, stuck_told_ = false;
  std::uint64_t taken_ = 0;
  Instant reading_since_;
  Timer look_;
  std::unique_ptr<Worker> worker_;  // last: ends before what its jobs read
};

}  // namespace ashbeam
