// Floods a router with bad tokens from its own thread. The tokens are well-formed and name made-up subjects,
// but have random bytes as their signature. All are different. Each is sent on a new connection, since the
// router makes a connection wait 0.1 s after a bad token.
#pragma once
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/limits.hpp"
#include "base/pcg.hpp"
#include "fakes/client.hpp"
#include "tokens/keys.hpp"

namespace ashbeam {

class TokenFlood {
 public:
  struct Result {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
  };
  // Starts the flood. `kid` is the id of a key that the router knows.
  TokenFlood(const std::string& router_address, const std::string& kid, std::uint64_t seed);
  ~TokenFlood();
  TokenFlood(const TokenFlood&) = delete;
  TokenFlood& operator=(const TokenFlood&) = delete;
  // Stops the flood and returns its result once the thread has ended.
  Result stop();

 private:
  struct Sender {
    Sender(TokenFlood& flood, const Limits& limits, EventLoop& loop)
        : client(loop, limits, flood.router_address_), timer(loop, [this, &flood] { flood.send(*this); }) {}
    fakes::Client client;
    Timer timer;
  };
  void run();
  void send(Sender& sender);
  std::string bad_token();

  std::string router_address_;
  Pcg random_;
  tokens::Key signer_;
  std::string kid_;
  std::vector<std::string> unsigned_tokens_;  // header and claims, each with its dot
  Result result_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace ashbeam
