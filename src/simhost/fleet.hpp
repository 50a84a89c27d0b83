// The simulated routers of one process: takes batches of event records apart, hands each event to its router,
// and gathers the replies. Routers share nothing but the list buffers, which are the wire's.
#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "base/time.hpp"
#include "simhost/codes.hpp"
#include "simhost/reply.hpp"
#include "simhost/router_instance.hpp"
#include "simhost/wire.hpp"

namespace ashbeam::simhost {

class Fleet {
 public:
  // Handles one batch of so many records, without its header; appends the reply, without its length, to
  // `reply`. `clock_ms` never goes back. Throws WireError where the batch is malformed, SettingsError where a
  // router can't be started on its settings.
  void handle(double clock_ms, std::uint32_t record_count, std::span<const std::uint8_t> batch,
              Writer& reply);

 private:
  RouterInstance& select_router(Reader& reader);
  void fill_list_buffer(Reader& reader);
  void dispatch(const Event& event, RouterInstance& router, Instant now);

  Reply reply_;
  std::map<RouterId, RouterInstance> routers_;
  std::array<std::vector<std::uint8_t>, kListBuffers> list_buffers_;
};

}  // namespace ashbeam::simhost
