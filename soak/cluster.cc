#include "soak/cluster.h"

namespace soak {

Random::Random(std::uint64_t seed, std::uint64_t stream) {
  std::seed_seq sequence{seed, seed >> 32U, stream};
  engine_.seed(sequence);
}

Ms Random::Between(Ms least, Ms most) {
  return Ms(std::uniform_int_distribution<Ms::rep>(least.count(),
                                                   most.count())(engine_));
}

bool Random::Chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(engine_) < share;
}

std::size_t Random::Index(std::size_t size) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(engine_);
}

Instance* Cluster::FindInstance(const std::string& name) {
  for (Instance& it : instances) {
    if (it.proxy->name() == name) return &it;
  }
  return nullptr;
}

lab::Group* Cluster::FindGroup(const std::string& service) {
  for (lab::Group& it : groups) {
    if (it.service() == service) return &it;
  }
  return nullptr;
}

}  // namespace soak
