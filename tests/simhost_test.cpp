// Tests of the simulator's binary protocol: malformed input is reported with its cause, and well-formed
// events about unknown requests, endpoints or routers are ignored.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "simhost/fleet.hpp"

namespace ashbeam::simhost {
namespace {

const std::string kSettings =
    "grades.count=1\ngrades.0.effect=idempotent\ngrades.0.goalTimeMs=500.0\ngrades.0.deadlineMs=2000.0\n"
    "rules.drainGraceMs=1000.0\nrules.fallMs=1000.0\nrules.fallMultiple=2.0\nrules.startCapacity=0.33\n"
    "rules.warmAfterMs=4000.0\nfamilyInfo.mostShares=0.1,1.0\nfamilyInfo.spanMs=2000.0\n"
    "familyInfo.ballotTtlMs=6000.0\nsome.newKey=whatever\nzones=a,b\nallowed.maxAttempts=3\n";

// Assembles the bytes of a batch, without its header.
struct Batch {
  Writer bytes;
  std::uint32_t record_count = 0;
  Writer& add(std::uint8_t code) {
    ++record_count;
    bytes.u8(code);
    return bytes;
  }
  Batch& select(std::uint32_t router) {
    add(15).u32(router);
    return *this;
  }
  Batch& start(const std::string& settings = kSettings) {
    add(1).u64(42);
    bytes.u32(static_cast<std::uint32_t>(settings.size()));
    for (const char c : settings) bytes.u8(static_cast<std::uint8_t>(c));
    return *this;
  }
  // A complete endpoint list with one ready endpoint, by way of list buffer 3.
  Batch& list() {
    add(14).u8(3);
    bytes.u32(1);
    bytes.address(0x0a124a071f93);
    bytes.u8(0);
    bytes.u32(0x42280000);  // release 42
    bytes.u8(0);
    bytes.u16(0);
    bytes.u8(1);
    bytes.u32(0x3f800000);
    bytes.f64(0);
    add(2).u8(1);
    bytes.u32(7);
    bytes.u8(3);
    return *this;
  }
  Batch& release_state() {
    add(11).u16(42);
    bytes.u8(1);
    bytes.u8(2);
    bytes.u8(0);
    bytes.u16(200);
    bytes.u32(0x3f800000);
    bytes.f64(5000);
    return *this;
  }
  Batch& request(std::uint32_t id) {
    add(3).u32(id);
    bytes.u8(0);
    bytes.f64(3000);
    bytes.f64(0);
    bytes.u16(0);
    bytes.u64(0);
    bytes.u8(0);
    return *this;
  }
  std::vector<std::uint8_t> handle_with(Fleet& fleet, double clock_ms = 1000) const {
    Writer reply;
    fleet.handle(clock_ms, record_count, bytes.bytes(), reply);
    return reply.bytes();
  }
};

std::string error_of(const Batch& batch) {
  Fleet fleet;
  try {
    batch.handle_with(fleet);
  } catch (const std::runtime_error& error) {
    return error.what();
  }
  return "";
}

TEST(SimhostWire, SendsRequestUnderIdOfItsRouter) {
  Fleet fleet;
  Batch batch;
  batch.select(3).start().list().release_state().request(0x5d3a91c4);
  const auto reply = batch.handle_with(fleet);
  const std::vector<std::uint8_t> acting_router{14, 0, 0, 0, 3};
  const std::vector<std::uint8_t> attempt{1, 0x5d, 0x3a, 0x91, 0xc4, 0x0a, 0x12, 0x4a, 7};
  EXPECT_TRUE(std::equal(acting_router.begin(), acting_router.end(), reply.begin()));
  EXPECT_NE(std::search(reply.begin(), reply.end(), attempt.begin(), attempt.end()), reply.end());
}

TEST(SimhostWire, IgnoresUnknownRequestsWakeupsEndpointsAndRouters) {
  Fleet fleet;
  Batch batch;
  batch.select(1).start().list();
  batch.add(6).u32(99);  // a request that has ended
  batch.add(7).u64(77);  // an old wakeup
  batch.add(8).u16(200);
  batch.bytes.address(0x010203040506);  // an unknown endpoint
  batch.bytes.f64(1);
  batch.bytes.u8(0);
  batch.select(2).add(6).u32(1);  // a router that never started
  EXPECT_NO_THROW(batch.handle_with(fleet));
}

TEST(SimhostWire, StartsAgainAfterHaltInSameBatchAndIgnoresRequestsWhileHalted) {
  Fleet fleet;
  Batch batch;
  batch.select(1).start().list().add(10);
  batch.start().list().release_state().request(5);
  const auto reply = batch.handle_with(fleet);
  EXPECT_GT(reply.size(), 20u);
  Batch after;
  after.select(1).add(10);
  after.request(6);  // ignored: the router is halted
  EXPECT_TRUE(after.handle_with(fleet).empty());
}

TEST(SimhostWire, ReportsMalformedInputWithItsCause) {
  Batch cut_short;
  cut_short.select(1).add(6).u16(1);
  EXPECT_NE(error_of(cut_short).find("field of 4 bytes cut short to 2 at byte 6"), std::string::npos);
  Batch unknown_code;
  unknown_code.select(1).add(99);
  EXPECT_NE(error_of(unknown_code).find("unknown event code 99"), std::string::npos);
  Batch unselected;
  unselected.add(10);
  EXPECT_NE(error_of(unselected).find("event code 10 before the first Select record"), std::string::npos);
  Batch unknown_buffer;
  unknown_buffer.add(14).u8(16);
  EXPECT_NE(error_of(unknown_buffer).find("list buffer 16 out of range (at most 15)"), std::string::npos);
  Batch left_over;
  left_over.select(1).bytes.u8(0);
  EXPECT_NE(error_of(left_over).find("bytes left over after the last of 1 records"), std::string::npos);
}

TEST(SimhostWire, ReportsMissingAndMalformedSettings) {
  Batch missing;
  missing.select(1).start("grades.count=1\n");
  EXPECT_NE(error_of(missing).find("'grades.0.effect' is missing"), std::string::npos);
  std::string malformed = kSettings;
  malformed.replace(malformed.find("2000.0"), 6, "soon");
  Batch batch;
  batch.select(1).start(malformed);
  EXPECT_NE(error_of(batch).find("not a number"), std::string::npos);
}

TEST(SimhostWire, RepliesOfTwoRoutersAreIndependent) {
  const auto reply_size_alone = [](std::uint32_t router) {
    Fleet fleet;
    Batch batch;
    batch.select(router).start().list().release_state().request(5);
    return batch.handle_with(fleet).size();
  };
  Fleet fleet;
  Batch both;
  both.select(1).start().list().release_state().request(5);
  both.select(2).start().list().release_state().request(5);
  EXPECT_EQ(both.handle_with(fleet).size(), reply_size_alone(1) + reply_size_alone(2));
}

}  // namespace
}  // namespace ashbeam::simhost
