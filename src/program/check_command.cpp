// `ashbeam check`: is the operator's file good, and what may stand in one?
#include <cstdio>

#include "program/commands.hpp"
#include "program/operators.hpp"

namespace ashbeam {

int check_file(const std::string& path) {
  try {
    const Operators o = read_operators(path, nullptr, nullptr);
    std::printf("%s: good; calling %s, %zu tenants; tls %s\n", path.c_str(), o.calling ? "on" : "off",
                o.calling ? o.calling->terms.tenants.size() : 0, o.tls ? "on" : "off");
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 1;
  }
}

int print_schema() {
  const std::string_view schema = operators_schema();
  std::printf("%.*s", static_cast<int>(schema.size()), schema.data());
  return 0;
}

}  // namespace ashbeam
