#include <gtest/gtest.h>
