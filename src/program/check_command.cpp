// Implements `ashbeam check`: checks an operator file, or prints the schema of operator files.
#include <cstdio>
#include <exception>
#include <string_view>

#include "program/commands.hpp"
#include "program/operator_config.hpp"
#include "program/operator_schema.hpp"

namespace ashbeam {

int check_operator_file(const std::string& path) {
  try {
    const OperatorConfig config = read_operator_config(path, nullptr);
    const std::size_t tenants = config.calling ? config.calling->settings.tenants.size() : 0;
    std::printf("%s: valid; calling %s, %zu tenants; tls %s\n", path.c_str(), config.calling ? "on" : "off",
                tenants, config.tls ? "on" : "off");
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}

int print_operator_schema() {
  const std::string_view schema = operator_schema();
  std::printf("%.*s", static_cast<int>(schema.size()), schema.data());
  return 0;
}

}  // namespace ashbeam
