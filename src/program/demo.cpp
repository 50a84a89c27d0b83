#include "program/demo.hpp"
namespace ashbeam {
int demo(const DemoOptions&) { return 1; }
}  // namespace ashbeam
