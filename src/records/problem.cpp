#include "records/problem.hpp"

#include <cstddef>

namespace ashbeam::records {

namespace {

constexpr std::size_t kMaxQuotedBytes = 60;

}  // namespace

std::string format_problems(std::string_view name, const std::vector<Problem>& problems) {
  std::string report;
  for (const Problem& problem : problems) {
    if (!report.empty()) report += '\n';
    report += name;
    report += ':' + std::to_string(problem.position.line);
    report += ':' + std::to_string(problem.position.column);
    report += ": " + problem.path + ": " + problem.message;
  }
  return report;
}

std::string field_path(const std::string& record_path, const std::string& name) {
  return record_path.empty() ? name : record_path + "." + name;
}

std::string quoted(std::string_view text) {
  std::string result = "\"";
  for (const char c : text.substr(0, kMaxQuotedBytes)) {
    const bool is_control = static_cast<unsigned char>(c) < ' ';
    if (c == '"' || c == '\\') result += '\\';
    if (!is_control) result += c;
    else result += c == '\n' ? "\\n" : "\\t";
  }
  return result + (text.size() > kMaxQuotedBytes ? "...\"" : "\"");
}

}  // namespace ashbeam::records
