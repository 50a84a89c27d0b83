// What all fault tests share: their arguments, their figures, one a line on standard output, and the verdict.
// Order of calls: construct with main's arguments, then figures and bounds, verdict() last.
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
  // Exits with status 2 if the arguments are not pairs of `--seconds N` and `--seed N`.
  Proof(const char* name, int argc, char** argv) : name_(name) {
    const bool pairs = argc % 2 == 1;  // beside the program's name
    if (!pairs) exit_with_usage();
    for (int i = 1; i < argc; i += 2) read_option(argv[i], argv[i + 1]);
  }

  double seconds = 30;
  std::uint64_t seed = 1;

  // Prints the figure.
  void figure(const std::string& name, double value) const {
    std::printf("%s %.6g\n", name.c_str(), value);
    std::fflush(stdout);
  }
  // Prints the figure; the test fails if it is over `most`.
  void at_most(const std::string& name, double value, double most) {
    figure(name, value);
    if (!(value <= most)) broken(name + " " + std::to_string(value) + " over " + std::to_string(most));
  }
  // Prints the figure; the test fails if it is under `least`.
  void at_least(const std::string& name, double value, double least) {
    figure(name, value);
    if (!(value >= least)) broken(name + " " + std::to_string(value) + " under " + std::to_string(least));
  }
  // Bounds on wall time are judged only in the long form, on a machine that runs nothing else: beside other
  // work they don't repeat. The short form prints such figures and judges what is counted.
  bool whole() const { return seconds >= 20; }
  void timed_at_most(const std::string& name, double value, double most) {
    if (whole()) {
      at_most(name, value, most);
    } else {
      figure(name, value);
    }
  }
  void timed_at_least(const std::string& name, double value, double least) {
    if (whole()) {
      at_least(name, value, least);
    } else {
      figure(name, value);
    }
  }
  // The test fails; the first reason is printed.
  void broken(const std::string& why) {
    if (why_.empty()) why_ = why;
  }
  // Prints the verdict and returns the program's exit status.
  int verdict() const {
    std::printf("proof %s: %s\n", name_, why_.empty() ? "held" : ("BROKEN: " + why_).c_str());
    return why_.empty() ? 0 : 1;
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
  std::string why_;
};

// The main function of a fault test: an exception fails it, too.
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
