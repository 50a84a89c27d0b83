// The instances of one process: decodes batches into calls on each instance's router and encodes what
// the routers do. Instances share nothing but the list buffers, which are the wire's.
#pragma once
#include <array>
#include <map>
#include <memory>
#include <string_view>

#include "base/index_map.hpp"
#include "policy/router_policy.hpp"
#include "simhost/wire.hpp"

namespace ashbeam::simhost {

class Fleet {
 public:
  Fleet();
  ~Fleet();
  // One batch without its header; the reply, without its length, is left in `reply`.
  void handle(double clock_ms, std::uint32_t records, std::span<const std::uint8_t> batch, Writer& reply);

 private:
  class Instance;
  void one_event(Reader& in, std::uint8_t code, Instance& to, Instant now);

  std::map<std::uint32_t, std::unique_ptr<Instance>> instances_;
  std::array<std::vector<std::uint8_t>, 16> sheets_;
  Writer* reply_ = nullptr;
  const Instance* speaking_ = nullptr;  // whose actions the reply is naming just now
  std::vector<float> report_;
};

}  // namespace ashbeam::simhost
