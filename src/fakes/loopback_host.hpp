// The loopback address at which the fakes of this process listen.
//
// Each process has an address of its own, so that fakes of several processes do not take each other's ports:
// a fake that was stopped keeps its port only by its number, and listens there again later. All of
// 127.0.0.0/8 is loopback (RFC 1122, section 3.2.1.3).
#pragma once
#include <unistd.h>

#include <string>

namespace ashbeam::fakes {

// Returns the address without a port: 127.64.0.0 plus the id of the process, which is below 2^22 on Linux. A
// process that is forked from one that has called this function gets the same address.
inline const std::string& loopback_host() {
  constexpr unsigned kFirstSecondOctet = 64, kOctetBits = 8, kOctetMask = 0xff;
  static const auto pid = static_cast<unsigned>(::getpid());
  static const std::string host = "127." + std::to_string(kFirstSecondOctet + (pid >> (2 * kOctetBits))) +
                                  "." + std::to_string((pid >> kOctetBits) & kOctetMask) + "." +
                                  std::to_string(pid & kOctetMask);
  return host;
}

}  // namespace ashbeam::fakes
