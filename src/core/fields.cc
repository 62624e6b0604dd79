#include "corianderdock/detail/fields.h"

#include <algorithm>

namespace corianderdock::detail {

Fields::Fields(const Json::Value& object, std::string path)
    : object_(object), path_(std::move(path)) {
  if (!object_.isObject()) Fail(path_, "expected an object");
}

std::string Fields::Path(const std::string& name) const {
  return path_.empty() ? name : path_ + "." + name;
}

void Fields::Fail(const std::string& place, std::string reason) {
  if (!error_) error_ = Error{place, std::move(reason)};
}

const Json::Value* Fields::Find(const char* name) {
  if (!object_.isObject() || !object_.isMember(name)) return nullptr;
  return &object_[name];
}

std::string Fields::Text(const char* name, bool required) {
  const Json::Value* value = Find(name);
  if (value == nullptr) {
    if (required) Fail(Path(name), "is missing");
    return {};
  }
  if (!value->isString()) {
    Fail(Path(name), "expected a string");
    return {};
  }
  if (required && value->asString().empty()) Fail(Path(name), "is empty");
  return value->asString();
}

std::uint64_t Fields::Number(const char* name, std::uint64_t fallback,
                             std::uint64_t lowest, std::uint64_t highest) {
  const Json::Value* value = Find(name);
  if (value == nullptr) return fallback;
  if (!value->isUInt64() || value->asUInt64() < lowest ||
      value->asUInt64() > highest) {
    std::string range = std::to_string(lowest) + " or more";
    if (highest != UINT64_MAX) {
      range = std::to_string(lowest) + " to " + std::to_string(highest);
    }
    Fail(Path(name), "expected a whole number, " + range);
    return fallback;
  }
  return value->asUInt64();
}

bool Fields::Flag(const char* name, bool fallback) {
  const Json::Value* value = Find(name);
  if (value == nullptr) return fallback;
  if (!value->isBool()) {
    Fail(Path(name), "expected true or false");
    return fallback;
  }
  return value->asBool();
}

const Json::Value& Fields::Array(const char* name) {
  static const Json::Value kEmpty(Json::arrayValue);
  const Json::Value* value = Find(name);
  if (value == nullptr) return kEmpty;
  if (!value->isArray()) {
    Fail(Path(name), "expected an array");
    return kEmpty;
  }
  return *value;
}

const Json::Value& Fields::Object(const char* name) {
  static const Json::Value kEmpty(Json::objectValue);
  const Json::Value* value = Find(name);
  if (value == nullptr) return kEmpty;
  if (!value->isObject()) {
    Fail(Path(name), "expected an object");
    return kEmpty;
  }
  return *value;
}

void Fields::RejectUnknown(std::initializer_list<std::string_view> known) {
  if (!object_.isObject()) return;
  for (const auto& name : object_.getMemberNames()) {
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      Fail(Path(name), "is not a known field");
    }
  }
}

}  // namespace corianderdock::detail
