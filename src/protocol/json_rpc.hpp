// Writes JSON-RPC 2.0 requests. Each request is one line of text.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "protocol/json.hpp"

namespace ashbeam {

// Returns the request with a line feed at its end. `params` is the text of a JSON object; if it is empty, the
// request has no params member.
inline std::string make_json_rpc_request(std::uint64_t id, std::string_view method, std::string_view params) {
  std::string line =
      "{\"jsonrpc\":\"2.0\",\"id\":" + std::to_string(id) + ",\"method\":" + json_quoted(method);
  if (!params.empty()) line.append(",\"params\":").append(params);
  return line + "}\n";
}

}  // namespace ashbeam
