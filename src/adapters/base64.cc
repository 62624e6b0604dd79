#include "corianderdock/detail/base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <exception>

namespace corianderdock::detail {

std::string EncodeBase64(const std::string& bytes) {
  using namespace boost::archive::iterators;  // NOLINT
  using Text =
      base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  std::string out(Text(bytes.cbegin()), Text(bytes.cend()));
  out.append((3 - bytes.size() % 3) % 3, '=');
  return out;
}

Result<std::string> DecodeBase64(std::string text) {
  using namespace boost::archive::iterators;  // NOLINT
  using Binary =
      transform_width<binary_from_base64<std::string::const_iterator>, 8, 6>;
  while (!text.empty() && text.back() == '=') text.pop_back();
  try {
    std::string out(Binary(text.cbegin()), Binary(text.cend()));
    out.resize(text.size() * 6 / 8);
    return out;
  } catch (const std::exception&) {
    return Error{"base64", "is malformed"};
  }
}

}  // namespace corianderdock::detail
