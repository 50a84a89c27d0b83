// The simulated routers of one process. Decodes batches of event records, passes each event to its router,
// and collects the routers' actions in a reply. Routers share nothing except the list buffers, which are part
// of the protocol.
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
  // Handles one batch of `record_count` records. `batch` is without its header, and the reply is appended to
  // `reply` without its length. `clock_ms` is the simulated time in milliseconds and must not decrease
  // between calls. Throws WireError if the batch is malformed, and SettingsError if a router cannot be
  // started with its settings.
  void handle(double clock_ms, std::uint32_t record_count, std::span<const std::uint8_t> batch,
              Writer& reply);

 private:
  // Returns the router of the id that follows, and creates it if it is new.
  RouterInstance& select_router(Reader& reader);
  void fill_list_buffer(Reader& reader);
  void dispatch(const Event& event, RouterInstance& router, Instant now);

  Reply reply_;
  std::map<RouterId, RouterInstance> routers_;
  std::array<std::vector<std::uint8_t>, kListBuffers> list_buffers_;
};

}  // namespace ashbeam::simhost
