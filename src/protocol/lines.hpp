// Lines off a byte stream, at any split, and JSON-RPC calls as lines. No sockets here.
#pragma once
#include <string>
#include <string_view>

#include "protocol/json.hpp"

namespace ashbeam {

class Lines {
 public:
  explicit Lines(std::size_t most) : most_(most) {}
  // Hands on each whole line without its end; false once one is longer than may be, or `what` says that it is
  // not good.
  template <class What>
  bool feed(std::string_view bytes, What&& what) {
    while (!bytes.empty()) {
      const std::size_t end = bytes.find('\n');
      held_.append(bytes.substr(0, end));
      if (held_.size() > most_) return false;
      if (end == std::string_view::npos) return true;
      bytes.remove_prefix(end + 1);
      if (!held_.empty() && held_.back() == '\r') held_.pop_back();
      const std::string line = std::move(held_);
      held_.clear();
      if (!what(std::string_view(line))) return false;
    }
    return true;
  }
  void clear() { held_.clear(); }
  bool begun() const { return !held_.empty(); }  // a line without its end yet

 private:
  std::size_t most_;
  std::string held_;
};

// A call as a line; `params` is a JSON object, or empty for none.
inline std::string rpc_call(std::uint64_t id, std::string_view method, std::string_view params) {
  std::string line = "{\"jsonrpc\":\"2.0\",\"id\":" + std::to_string(id) + ",\"method\":" + json_text(method);
  if (!params.empty()) line.append(",\"params\":").append(params);
  return line + "}\n";
}

}  // namespace ashbeam
