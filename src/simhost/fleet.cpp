#include "simhost/fleet.hpp"

#include <cstddef>
#include <string>
#include <type_traits>
#include <variant>

namespace ashbeam::simhost {

void Fleet::handle(double clock_ms, std::uint32_t record_count, std::span<const std::uint8_t> batch,
                   Writer& reply) {
  reply_.begin_batch(reply);
  const Instant now = Instant::at_ms(clock_ms);
  Reader reader(batch);
  RouterInstance* selected = nullptr;
  for (std::uint32_t i = 0; i < record_count; ++i) {
    const EventCode code = read_event_code(reader);
    if (code == EventCode::kSelectRouter) {
      selected = &select_router(reader);
    } else if (code == EventCode::kListBuffer) {
      fill_list_buffer(reader);
    } else {
      if (!selected)
        reader.fail("event code " + std::to_string(static_cast<unsigned>(code)) +
                    " before the first Select record");
      dispatch(read_event(reader, code), *selected, now);
    }
  }
  if (!reader.is_at_end())
    reader.fail("bytes left over after the last of " + std::to_string(record_count) + " records");
}

RouterInstance& Fleet::select_router(Reader& reader) {
  const RouterId id = reader.u32();
  return routers_.try_emplace(id, id, reply_).first->second;
}

void Fleet::fill_list_buffer(Reader& reader) {
  const std::size_t buffer = read_list_buffer(reader);
  const auto rows = reader.bytes(std::size_t{reader.u32()} * kListRowBytes);
  list_buffers_[buffer].assign(rows.begin(), rows.end());
}

void Fleet::dispatch(const Event& event, RouterInstance& router, Instant now) {
  std::visit(
      [&](const auto& typed) {
        using Type = std::decay_t<decltype(typed)>;
        if constexpr (std::is_same_v<Type, EndpointListEvent>) {
          router.update_endpoints(typed.complete, list_buffers_[typed.buffer], now);
        } else if constexpr (std::is_same_v<Type, HaltEvent>) {
          router.handle(typed);
        } else if constexpr (!std::is_same_v<Type, IgnoredEvent>) {
          router.handle(typed, now);
        }
      },
      event);
}

}  // namespace ashbeam::simhost
