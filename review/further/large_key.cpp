// A build is on trial and the settings keep a key at the newest build that has answered it. The test sends
// keys over the whole range of 64 bits.
#include "../standins/standins.hpp"

using namespace standins;

namespace {
constexpr int kHosts = 6, kClients = 10;
std::atomic<bool> stopping = false;
}  // namespace

int main(int, char** argv) {
  record.open(argv[1]);
  HostList list;
  std::vector<std::unique_ptr<Host>> hosts;
  std::mutex mutex;
  std::map<std::string, int> answered;  // the newest build whose answer the client has for a key
  std::map<std::string, int> broken;    // attempts at an earlier build, by key
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i), "torino-nord", 0.11, 0.19));
    const int release = trouble() && i >= kHosts / 2 ? 42 : 41;
    hosts.back()->set_release(release);
    hosts.back()->on_request = [&, i, release](const Host&, const Message& request) {
      const std::string key = request.field("X-Facts");
      const std::lock_guard lock(mutex);
      const int newest = answered[key];
      record.line("host %d (build %d): %s %s", i, release, request.field("X-Correlation-Id").c_str(),
                  key.c_str());
      if (release < newest) {
        ++broken[key];
        record.line("BROKEN: %s has been answered by build %d and goes to build %d", key.c_str(), newest,
                    release);
      }
    };
    hosts.back()->answers_with_build = true;
    list.put(hosts.back()->entry());
  }
  Discovery discovery(list, "discovery");
  Platform platform(trouble()
                        ? "{\"image\":42,\"ring\":3,\"progress\":\"trial\",\"ceiling\":0.77,\"lag_ms\":300}"
                        : kReleasedState);
  Router router({discovery.address(), platform.address(), torino_settings()});
  if (!router.wait_until_ready(30)) cannot_run("the router is not ready");
  sleep_for(2);
  std::vector<std::thread> clients;
  std::atomic<int> answers = 0, served = 0;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Client client(router.port());
      // Ten keys over the whole range; the last lies above 1.8e19.
      const std::uint64_t key =
          i + 1 == kClients ? 18293021206428651015U : UINT64_MAX / 40 * (4U * static_cast<unsigned>(i) + 1);
      while (!stopping) {
        Request request;
        request.id = new_id();
        request.account = "casa-ferri";
        request.path = "/slot-lookup";
        request.facts = "targetKey=" + std::to_string(key);
        request.time_left_ms = 4000;
        const Answered answer = client.send(request);
        served += answer.status == 200;
        ++answers;
        if (answer.status == 200) {
          const int build = std::atoi(answer.body.c_str());
          const std::lock_guard lock(mutex);
          answered[request.facts] = std::max(answered[request.facts], build);
        }
        sleep_for(0.05);
      }
    });
  }
  sleep_for(30);
  stopping = true;
  for (std::thread& client : clients) client.join();
  int late = 0;
  for (const auto& [key, count] : broken)
    record.line("%s: %d attempts at an earlier build", key.c_str(), count), late += count;
  char summary[200];
  std::snprintf(summary, sizeof summary,
                "%d of %d served; %d attempts of %zu keys at an earlier build than one that had answered",
                served.load(), answers.load(), late, broken.size());
  finish(router, late > 0, summary);
}
