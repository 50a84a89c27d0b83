// A flood of bad tokens on a thread of its own: in the form of good ones, signed with nothing, each another
// one, each on a new connection, since a kept one would have to wait a tenth of a second. The names are made
// up.
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
  // `kid` is of a key that the router knows.
  TokenFlood(const std::string& router_address, const std::string& kid, std::uint64_t seed);
  ~TokenFlood();
  TokenFlood(const TokenFlood&) = delete;
  TokenFlood& operator=(const TokenFlood&) = delete;
  Result stop();  // returns once the flood has ended

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
  Pcg chance_;
  tokens::Key signer_;
  std::string kid_;
  std::vector<std::string> unsigned_tokens_;  // up to and with the second dot
  Result result_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace ashbeam
