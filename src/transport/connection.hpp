// One TCP stream with bounded buffers, and its owner's callbacks. Knows no HTTP.
#pragma once
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <string>
#include <string_view>

#include "base/limits.hpp"
#include "transport/event_loop.hpp"
#include "transport/failure.hpp"
#include "transport/tls_stream.hpp"

namespace ashbeam {

// Is it a numeric address with a port? POCO would ask the resolver for a name, and the loop would wait.
bool is_address(const std::string& address);

class Connection {
 public:
  // What the owner is told. None of these comes while the owner is in a call to the connection.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_connected() {}
    virtual void on_data() = 0;          // look at unread(), take() what was used
    virtual void on_write_complete() {}  // after a write that could not be finished at once
    virtual void on_closed() = 0;        // by the other side, or broken; unread() still stands
  };

  // Opens one; with a veil it is open once that is shaken.
  using MakeTlsStream = std::function<std::unique_ptr<TlsStream>(int fd)>;
  Connection(EventLoop& loop, const Limits& limits, Owner& owner, const std::string& address,
             MakeTlsStream veil = nullptr);
  // Takes one over; with a veil it is open once that is shaken.
  Connection(EventLoop& loop, const Limits& limits, Owner& owner, int accepted,
             std::unique_ptr<TlsStream> veil = nullptr);
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool opening() const { return state_ == State::kOpening; }
  bool handshaking() const { return state_ == State::kShaking; }
  TlsStream* veil() const { return veil_.get(); }
  // Was it never open, or is something left of what was to be written? Stands after the end, too.
  bool unwritten() const { return !was_open_ || written_ < out_.size(); }
  std::string_view unread() const { return std::string_view(in_).substr(taken_); }
  void take(std::size_t n);
  void write(std::string_view bytes);  // as much as goes at once, the rest when the other side reads
  void finish_writing();               // tells the other side that nothing more comes; reading goes on
  void discard();                      // whatever else comes is dropped unseen, up to the end
  // Once ended: not by the other side in order, so what came may not be all.
  bool broken() const { return broken_; }
  // Once ended: what ended it, or kept it from opening.
  Failure failure() const { return failure_; }
  bool discarded() const { return discarded_; }  // has anything been?
  void close();                                  // no callback comes after this
  // Has the other side closed, or sent something unasked? Looks at the socket itself, not at what was read.
  bool quiet() const;
  bool has_bytes() const;  // read or not

 private:
  enum class State { kOpening, kShaking, kOpen, kEnded, kClosed };
  template <class What>
  using Told = Poco::AutoPtr<What>;
  void readable(const Told<Poco::Net::ReadableNotification>&);
  void writable(const Told<Poco::Net::WritableNotification>&);
  void failed(const Told<Poco::Net::ErrorNotification>&);
  void watch(bool reading, bool writing);
  template <class What>
  void observe(bool on, void (Connection::*told)(const Told<What>&));
  bool alive() const { return state_ < State::kEnded; }  // the order of the states
  void flush();
  void shake();
  void read_held();
  void open(const std::string& address);
  void end(Failure why = Failure::kBroken);

  EventLoop& loop_;
  const Limits& limits_;
  Owner& owner_;
  Poco::Net::StreamSocket socket_;
  State state_ = State::kOpening;
  bool was_open_ = false, reading_ = false, writing_ = false, watched_ = false, discarding_ = false,
       discarded_ = false, broken_ = true;
  Failure failure_ = Failure::kNone;
  std::string in_, out_;
  std::size_t taken_ = 0, written_ = 0;
  MakeTlsStream make_veil_;                                // until the socket is open
  std::unique_ptr<TlsStream> veil_;                        // none where bytes are plain
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);  // outlived by what was put off
};

}  // namespace ashbeam
