/// \file
/// Runs a libFuzzer target on mutations of a corpus. The seed determines all
/// inputs, and each of them can be run alone.
#include <sanitizer/common_interface_defs.h>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

namespace {

constexpr int kMaxMutations = 6;
constexpr std::size_t kMaxInputBytes = 4096;

std::uint64_t seed = 1;
std::uint64_t run = 0;

void PrintRun() {
  std::fprintf(stderr, "failed: --seed %llu --first %llu --runs 1\n",
               static_cast<unsigned long long>(seed),
               static_cast<unsigned long long>(run));
}

std::vector<std::string> ReadCorpus(const std::string& folder) {
  std::vector<std::filesystem::path> paths;
  for (const auto& it : std::filesystem::directory_iterator(folder)) {
    paths.push_back(it.path());
  }
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> inputs;
  for (const auto& path : paths) {
    std::ifstream in(path, std::ios::binary);
    inputs.emplace_back(std::istreambuf_iterator<char>(in),
                        std::istreambuf_iterator<char>());
  }
  return inputs;
}

/// Draws an input from the corpus and changes it.
class Mutator {
 public:
  Mutator(const std::vector<std::string>& corpus, std::uint64_t number)
      : corpus_(corpus), random_(number) {}

  std::string Draw() {
    std::string input = corpus_[Below(corpus_.size())];
    for (auto n = Below(kMaxMutations); n > 0; --n) Mutate(input);
    input.resize(std::min(input.size(), kMaxInputBytes));
    return input;
  }

 private:
  std::size_t Below(std::size_t n) { return random_() % n; }

  void Mutate(std::string& input) {
    const std::size_t at = Below(input.size() + 1);
    switch (Below(5)) {
      case 0:  // any byte
        input.insert(at, 1, static_cast<char>(Below(256)));
        break;
      case 1:  // a byte that the grammar gives a meaning
        input.insert(at, 1, " \r\n-.0"[Below(6)]);
        break;
      case 2:
        input.erase(at, 1 + Below(8));
        break;
      case 3:
        if (at < input.size()) input[at] = static_cast<char>(Below(256));
        break;
      default: {  // part of another input
        const std::string& other = corpus_[Below(corpus_.size())];
        const std::size_t from = Below(other.size() + 1);
        input.insert(at, other.substr(from, Below(24)));
        break;
      }
    }
  }

  const std::vector<std::string>& corpus_;
  std::mt19937_64 random_;
};

}  // namespace

int main(int count, char** arguments) {
  std::string folder;
  std::uint64_t first = 0;
  std::uint64_t runs = 0;
  for (int n = 1; n + 1 < count; n += 2) {
    const std::string name = arguments[n];
    const std::string value = arguments[n + 1];
    if (name == "--corpus") folder = value;
    if (name == "--seed") seed = std::stoull(value);
    if (name == "--first") first = std::stoull(value);
    if (name == "--runs") runs = std::stoull(value);
  }
  const auto corpus =
      folder.empty() ? std::vector<std::string>() : ReadCorpus(folder);
  if (corpus.empty() || runs == 0) {
    std::cerr << "usage: --corpus FOLDER --runs N [--seed N] [--first N]\n";
    return 2;
  }
  __sanitizer_set_death_callback(PrintRun);
  (void)std::signal(SIGABRT, [](int) { PrintRun(); });
  for (run = first; run < first + runs; ++run) {
    // Multiplied by an odd constant, so that seeds share no inputs.
    const std::string input =
        Mutator(corpus, seed * 0x9E3779B97F4A7C15U + run).Draw();
    (void)LLVMFuzzerTestOneInput(
        reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
  }
  std::cout << "runs=" << runs << " seed=" << seed << "\n";
  return 0;
}
