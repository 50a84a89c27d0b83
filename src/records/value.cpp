#include "records/value.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>

namespace ashbeam::records {

namespace {

std::string number_text(double n) {
  char text[32];
  const auto [end, error] = std::to_chars(text, text + sizeof text, n);
  return error == std::errc() ? std::string(text, end) : "?";
}

std::string found(const Value& v) {
  switch (v.kind) {
    case Value::Kind::kNone:
      return "nothing";
    case Value::Kind::kString:
      return quoted(v.text);
    case Value::Kind::kNumber:
      return number_text(v.number);
    case Value::Kind::kBool:
      return v.truth ? "true" : "false";
    case Value::Kind::kRecord:
      return "a record";
    case Value::Kind::kList:
      return "a list";
  }
  return "?";
}

bool same(const Value& a, const Value& b) {
  return a.kind == b.kind && a.text == b.text && a.number == b.number && a.truth == b.truth;
}

const Field* field_of(const Node& record, std::string_view name) {
  for (const Field& f : record.fields) {
    if (f.name == name) return &f;
  }
  return nullptr;
}

// The file's own names resolved and its records merged, into concrete values.
class Resolver {
 public:
  Resolver(const Node& root, std::vector<Problem>& problems) : root_(root), problems_(problems) {}

  Value resolve(const Node& n, const std::string& path) {
    Value v;
    v.at = n.at;
    // Guards against names that double with each step, and against names that lead back to themselves.
    if (over_) return v;
    if (++made_ > kMostNodes) return over_ = true, wrong(n.at, path, "at most 100000 values", "more"), v;
    switch (n.kind) {
      case Node::Kind::kString:
        v.kind = Value::Kind::kString;
        v.text = n.text;
        break;
      case Node::Kind::kNumber:
        v.kind = Value::Kind::kNumber;
        v.number = n.number;
        v.whole = n.whole;
        break;
      case Node::Kind::kBool:
        v.kind = Value::Kind::kBool;
        v.truth = n.truth;
        break;
      case Node::Kind::kType:
      case Node::Kind::kBound:
        wrong(n.at, path, "a value", "the type " + n.text);
        break;
      case Node::Kind::kRecord:
        v.kind = Value::Kind::kRecord;
        for (const Field& f : n.fields) {
          if (f.name[0] == '#') continue;
          const std::string inside = path.empty() ? f.name : path + "." + f.name;
          if (f.optional) wrong(f.at, inside, "a value", "an optional field");
          v.fields.emplace_back(f.name, resolve(*f.value, inside));
          v.fields.back().second.named = f.at;
        }
        break;
      case Node::Kind::kList:
        v.kind = Value::Kind::kList;
        if (n.rest) wrong(n.at, path, "a list's items", "an open list");
        for (const auto& part : n.parts)
          v.items.push_back(resolve(*part, path + "." + std::to_string(v.items.size())));
        break;
      case Node::Kind::kName: {
        const Field* const f = field_of(root_, n.text);
        if (!f) {
          wrong(n.at, path, "a definition of this file", n.text);
        } else if (std::find(within_.begin(), within_.end(), f) != within_.end()) {
          wrong(n.at, path, "no definition within itself", n.text);
        } else if (within_.size() >= kDeepest) {
          wrong(n.at, path, "at most 32 levels", n.text);
        } else {
          within_.push_back(f);
          v = resolve(*f->value, path);
          v.at = n.at;
          within_.pop_back();
        }
        break;
      }
      case Node::Kind::kAll:
        for (const auto& part : n.parts) {
          Value more = resolve(*part, path);
          if (v.kind == Value::Kind::kNone) v = std::move(more);
          else merge(v, std::move(more), path);
        }
        v.at = n.at;
        break;
      case Node::Kind::kOneOf:
        if (n.preferred >= 0) v = resolve(*n.parts[static_cast<std::size_t>(n.preferred)], path);
        else wrong(n.at, path, "a value", "alternatives");
        break;
    }
    return v;
  }

 private:
  void wrong(Place at, const std::string& path, const std::string& wanted, const std::string& what) {
    if (problems_.size() < kMostProblems)
      problems_.push_back({at, path, "wanted " + wanted + ", found " + what});
  }
  void merge(Value& into, Value from, const std::string& path) {
    if (into.kind == Value::Kind::kRecord && from.kind == Value::Kind::kRecord) {
      for (auto& [name, value] : from.fields) {
        const auto at = std::find_if(into.fields.begin(), into.fields.end(),
                                     [&, &key = name](const auto& f) { return f.first == key; });
        if (at == into.fields.end()) into.fields.emplace_back(name, std::move(value));
        else merge(at->second, std::move(value), path.empty() ? name : path + "." + name);
      }
    } else if (into.kind == Value::Kind::kList || !same(into, from)) {
      wrong(from.at, path, found(into) + " as before", found(from));
    }
  }
  const Node& root_;
  std::vector<Problem>& problems_;
  std::vector<const Field*> within_;
  std::size_t made_ = 0;
  bool over_ = false;
};

class Checker {
 public:
  Checker(const Node& schema, std::vector<Problem>& problems) : schema_(schema), problems_(problems) {}

  // The value with its defaults, as far as it fits; what does not is noted.
  Value fit(const Node& wanted, Value v, const std::string& path) {
    switch (wanted.kind) {
      case Node::Kind::kName:
        return fit(named(wanted), std::move(v), path);
      case Node::Kind::kAll:
        for (const auto& part : wanted.parts) {
          const std::size_t before = problems_.size();
          v = fit(*part, std::move(v), path);
          if (problems_.size() != before) break;  // told once, not for each part
        }
        return v;
      case Node::Kind::kOneOf:
        return one_of(wanted, std::move(v), path);
      case Node::Kind::kRecord:
        return record(wanted, std::move(v), path);
      case Node::Kind::kList:
        return list(wanted, std::move(v), path);
      default:
        if (!plain(wanted, v)) wrong(v.at, path, shown(wanted), found(v));
        return v;
    }
  }

 private:
  void wrong(Place at, const std::string& path, const std::string& wanted, const std::string& what) {
    if (problems_.size() < kMostProblems)
      problems_.push_back({at, path.empty() ? "file" : path, "wanted " + wanted + ", found " + what});
  }

  const Node& named(const Node& name) const {
    const Field* const f = field_of(schema_, name.text);
    if (!f) throw std::logic_error("schema: no definition " + name.text);
    return *f->value;
  }

  static bool plain(const Node& wanted, const Value& v) {
    Span a, b;
    switch (wanted.kind) {
      case Node::Kind::kString:
        return v.kind == Value::Kind::kString && v.text == wanted.text;
      case Node::Kind::kNumber:
        return v.kind == Value::Kind::kNumber && v.number == wanted.number;
      case Node::Kind::kBool:
        return v.kind == Value::Kind::kBool && v.truth == wanted.truth;
      case Node::Kind::kType:
        if (wanted.text == "string") return v.kind == Value::Kind::kString;
        if (wanted.text == "bool") return v.kind == Value::Kind::kBool;
        if (wanted.text == "span") return v.kind == Value::Kind::kString && span_of(v.text, a);
        return v.kind == Value::Kind::kNumber && (wanted.text == "number" || v.whole);
      case Node::Kind::kBound: {
        const Node& limit = *wanted.parts[0];
        double left = v.number, right = limit.number;
        if (limit.kind == Node::Kind::kString) {
          if (v.kind != Value::Kind::kString) return false;
          if (wanted.text == "!=") return v.text != limit.text;
          if (!span_of(limit.text, b)) throw std::logic_error("schema: no span: " + limit.text);
          if (!span_of(v.text, a)) return false;
          left = static_cast<double>(a.us()), right = static_cast<double>(b.us());
        } else if (v.kind != Value::Kind::kNumber) {
          return false;
        }
        if (wanted.text == ">=") return left >= right;
        if (wanted.text == "<=") return left <= right;
        if (wanted.text == ">") return left > right;
        if (wanted.text == "<") return left < right;
        return left != right;
      }
      default:
        return false;
    }
  }

  // An alternative fits if it leaves no problem behind.
  Value one_of(const Node& wanted, Value v, const std::string& path) {
    if (!v.given() && wanted.preferred >= 0) {
      std::vector<Problem> none;
      Value standing =
          Resolver(schema_, none).resolve(*wanted.parts[static_cast<std::size_t>(wanted.preferred)], path);
      standing.at = v.at;
      if (!none.empty()) throw std::logic_error("schema: a default that is no value at " + path);
      return standing;
    }
    std::vector<Problem> outer;
    outer.swap(problems_);
    std::vector<Problem> nearest;
    for (const auto& part : wanted.parts) {
      problems_.clear();
      Value tried = fit(*part, v, path);
      if (problems_.empty()) {
        problems_.swap(outer);
        return tried;
      }
      const bool inside = v.kind == Value::Kind::kRecord || v.kind == Value::Kind::kList;
      if (inside && (nearest.empty() || problems_.size() < nearest.size())) nearest = problems_;
    }
    problems_.swap(outer);
    if (nearest.empty()) wrong(v.at, path, shown(wanted), found(v));
    for (auto& p : nearest) {
      if (problems_.size() < kMostProblems) problems_.push_back(std::move(p));
    }
    return v;
  }

  Value record(const Node& wanted, Value v, const std::string& path) {
    if (!v.given()) v.kind = Value::Kind::kRecord;  // made of its fields' defaults, where all have one
    if (v.kind != Value::Kind::kRecord) return wrong(v.at, path, "a record", found(v)), v;
    const auto inside = [&](const std::string& name) { return path.empty() ? name : path + "." + name; };
    for (const auto& [name, given] : v.fields) {
      if (field_of(wanted, name)) continue;
      std::string names;
      for (const Field& f : wanted.fields) names.append(names.empty() ? "" : ", ").append(f.name);
      wrong(given.named, inside(name), "one of " + names, "the field " + name);
    }
    std::vector<std::pair<std::string, Value>> all;
    for (const Field& f : wanted.fields) {
      Value given;
      given.at = v.at;
      for (auto& [name, value] : v.fields) {
        if (name == f.name) given = std::move(value);
      }
      if (given.given() || !f.optional) given = fit(*f.value, std::move(given), inside(f.name));
      all.emplace_back(f.name, std::move(given));
    }
    v.fields = std::move(all);
    return v;
  }

  Value list(const Node& wanted, Value v, const std::string& path) {
    if (!v.given() && wanted.parts.empty()) v.kind = Value::Kind::kList;
    if (v.kind != Value::Kind::kList) return wrong(v.at, path, "a list", found(v)), v;
    for (std::size_t i = 0; i < v.items.size(); ++i) {
      const Node* const each = i < wanted.parts.size() ? wanted.parts[i].get() : wanted.rest.get();
      const std::string inside = path + "." + std::to_string(i);
      if (!each) wrong(v.items[i].at, inside, "no further item", found(v.items[i]));
      else v.items[i] = fit(*each, std::move(v.items[i]), inside);
    }
    if (v.items.size() < wanted.parts.size())
      wrong(v.at, path, std::to_string(wanted.parts.size()) + " items", std::to_string(v.items.size()));
    return v;
  }

  std::string shown(const Node& n) const {
    std::string all;
    switch (n.kind) {
      case Node::Kind::kString:
        return quoted(n.text);
      case Node::Kind::kBound:
        return n.text + shown(*n.parts[0]);
      case Node::Kind::kRecord:
        return "a record";
      case Node::Kind::kList:
        return "a list";
      case Node::Kind::kName:
        return shown(named(n));
      case Node::Kind::kAll:
      case Node::Kind::kOneOf:
        for (const auto& part : n.parts)
          all.append(all.empty() ? "" : n.kind == Node::Kind::kAll ? " & " : " | ").append(shown(*part));
        return all;
      default:
        return n.text;
    }
  }

  const Node& schema_;
  std::vector<Problem>& problems_;
};

}  // namespace

const Value& Value::operator[](std::string_view name) const {
  static const Value kNothing;
  for (const auto& [key, value] : fields) {
    if (key == name) return value;
  }
  return kNothing;
}

Span Value::span() const {
  Span s;
  span_of(text, s);
  return s;
}

bool span_of(std::string_view text, Span& span) {
  double n = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  const std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
  const double us = unit == "us"   ? 1
                    : unit == "ms" ? 1e3
                    : unit == "s"  ? 1e6
                    : unit == "m"  ? 60e6
                    : unit == "h"  ? 3600e6
                                   : 0;
  if (error != std::errc() || us == 0 || !(n >= 0) || n * us > 86400e6 * 1000) return false;
  span = Span::us(std::llround(n * us));
  return true;
}

Checked check(std::string_view schema, std::string_view definition, std::string_view file) {
  const Text own = read(schema);
  if (!own.problems.empty()) throw std::logic_error("schema: " + told("schema", own.problems));
  const Field* const whole = field_of(*own.root, definition);
  if (!whole) throw std::logic_error("schema: no definition " + std::string(definition));
  Checked all;
  Text given = read(file);
  all.problems = std::move(given.problems);
  const std::size_t unreadable = all.problems.size();
  Value concrete = Resolver(*given.root, all.problems).resolve(*given.root, "");
  concrete.at = {1, 1};
  // What could not be read is not told again as missing.
  if (unreadable == 0)
    all.value = Checker(*own.root, all.problems).fit(*whole->value, std::move(concrete), "");
  std::stable_sort(all.problems.begin(), all.problems.end(), [](const Problem& a, const Problem& b) {
    return std::pair(a.at.line, a.at.column) < std::pair(b.at.line, b.at.column);
  });
  return all;
}

std::string told(std::string_view name, const std::vector<Problem>& problems) {
  std::string all;
  for (const Problem& p : problems) {
    all.append(all.empty() ? "" : "\n")
        .append(name)
        .append(":" + std::to_string(p.at.line) + ":" + std::to_string(p.at.column) + ": ")
        .append(p.path)
        .append(": ")
        .append(p.what);
  }
  return all;
}

}  // namespace ashbeam::records
