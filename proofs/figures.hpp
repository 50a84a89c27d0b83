// Shared by all fault tests: reads their arguments, prints their figures, one per line on standard output,
// checks the bounds and prints the verdict. Construct with the arguments of main, then call the functions for
// figures and bounds, and verdict() last.
#pragma once
#include <Poco/Exception.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

namespace ashbeam {

class Proof {
 public:
  // Exits with status 2 unless the arguments are pairs of `--seconds N` and `--seed N`.
  Proof(const char* name, int argc, char** argv) : name_(name) {
    const bool pairs = argc % 2 == 1;  // argv[0] is the program's name
    if (!pairs) exit_with_usage();
    for (int i = 1; i < argc; i += 2) read_option(argv[i], argv[i + 1]);
  }

  double seconds = 30;
  std::uint64_t seed = 1;

  // Prints the figure without checking it.
  void figure(const std::string& name, double value) const {
    std::printf("%s %.6g\n", name.c_str(), value);
    std::fflush(stdout);
  }
  // Prints the figure; the test fails if it is greater than `most` or not a number.
  void at_most(const std::string& name, double value, double most) {
    figure(name, value);
    if (!(value <= most))
      fail(name + " " + std::to_string(value) + " is greater than the limit " + std::to_string(most));
  }
  // Prints the figure; the test fails if it is less than `least` or not a number.
  void at_least(const std::string& name, double value, double least) {
    figure(name, value);
    if (!(value >= least))
      fail(name + " " + std::to_string(value) + " is less than the limit " + std::to_string(least));
  }
  // Whether this is a long run, of 20 s or more. Bounds on wall time are checked only in a long run, which
  // has the machine to itself: beside other work such figures don't repeat. A short run prints them and
  // checks counts only.
  bool is_long_run() const { return seconds >= 20; }
  // Like at_most(), but a short run only prints the figure.
  void timed_at_most(const std::string& name, double value, double most) {
    if (is_long_run()) {
      at_most(name, value, most);
    } else {
      figure(name, value);
    }
  }
  // Like at_least(), but a short run only prints the figure.
  void timed_at_least(const std::string& name, double value, double least) {
    if (is_long_run()) {
      at_least(name, value, least);
    } else {
      figure(name, value);
    }
  }
  // Fails the test. The verdict names the first reason.
  void fail(const std::string& reason) {
    if (failure_.empty()) failure_ = reason;
  }
  // Prints the verdict and returns the program's exit status.
  int verdict() const {
    std::printf("proof %s: %s\n", name_, failure_.empty() ? "held" : ("BROKEN: " + failure_).c_str());
    return failure_.empty() ? 0 : 1;
  }

 private:
  void read_option(const char* option, const char* value) {
    if (std::strcmp(option, "--seconds") == 0) {
      seconds = std::atof(value);
    } else if (std::strcmp(option, "--seed") == 0) {
      seed = std::strtoull(value, nullptr, 10);
    } else {
      exit_with_usage();
    }
  }
  [[noreturn]] void exit_with_usage() const {
    std::fprintf(stderr, "usage: proof_%s --seconds N --seed N\n", name_);
    std::exit(2);
  }

  const char* name_;
  std::string failure_;
};

// Runs a fault test and returns its exit status. An exception fails the test.
inline int run_proof(const char* name, int argc, char** argv, int (*prove)(int, char**)) {
  try {
    return prove(argc, argv);
  } catch (const Poco::Exception& e) {
    std::printf("proof %s: BROKEN: %s\n", name, e.displayText().c_str());
  } catch (const std::exception& e) {
    std::printf("proof %s: BROKEN: %s\n", name, e.what());
  }
  return 1;
}

}  // namespace ashbeam
