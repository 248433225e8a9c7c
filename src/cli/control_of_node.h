// The control socket of a node that serves; nothing in a build without HINGELINK_TOOLS.
#ifndef HINGELINK_CLI_CONTROL_OF_NODE_H_
#define HINGELINK_CLI_CONTROL_OF_NODE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "node/node.h"
#include "node/node_extension.h"

namespace hingelink::cli {

class ControlOfNode {
 public:
  virtual ~ControlOfNode() = default;
};

// What the node learns, kept in a folder; nothing in a build without HINGELINK_TOOLS.
class StateOfNode {
 public:
  virtual ~StateOfNode() = default;
  // Behind the node's Run().
  virtual void Finish() = 0;
  // For `hingelink background`: the jobs as JSON.
  virtual std::string Jobs() const = 0;
};
// Throws where the build has none.
std::unique_ptr<StateOfNode> KeepState(node::Node& node, const std::string& folder);

// The other nodes of the fleet; nothing in a build without HINGELINK_TOOLS.
class FleetOfNode {
 public:
  virtual ~FleetOfNode() = default;
  // Behind the node's Run(): the others are told.
  virtual void Finish() = 0;
  // For `hingelink fleet members`, and in short for the console, as JSON.
  // `brief`: names, lives and states alone, for who asks hundreds of nodes.
  virtual std::string Members(bool brief) const = 0;
  virtual std::string Short() const = 0;
  // Names and zones of those that are here, this node among them.
  virtual std::vector<std::pair<std::string, std::string>> Here() const = 0;
};
// The services below that this node shares with others; nothing in a build without HINGELINK_TOOLS.
class ServicesOfNode {
 public:
  virtual ~ServicesOfNode() = default;
  // For the node that is made with it, which this must outlive.
  virtual node::Node::WorkerPoolFactory Maker() = 0;
  // What keeps it told of the other nodes and of a changed file, as long as it lives.
  virtual std::unique_ptr<node::NodeExtension> Join(node::Node& node, const FleetOfNode* fleet) = 0;
  // For `hingelink fleet spread`, as JSON.
  virtual std::string Spread() const = 0;
};
// `path`: a file by deploy/schema/services.json. Throws where it is wrong, or the build has no such part.
std::unique_ptr<ServicesOfNode> ReadServices(const std::string& path);

// `path`: a file by deploy/schema/peers.json. Throws where it is wrong, or the build has no such part.
std::unique_ptr<FleetOfNode> JoinFleet(node::Node& node, const std::string& path);

// Behind the path of the control socket: a file that a node leaves when it has ended well.
inline constexpr char kEndedWell[] = ".ended";

// Throws where it cannot listen, or where the build has no control socket.
std::unique_ptr<ControlOfNode> MakeControl(node::Node& node, const std::string& path,
                                           std::uint64_t generation, const StateOfNode* state = nullptr,
                                           const FleetOfNode* fleet = nullptr,
                                           const ServicesOfNode* services = nullptr);

}  // namespace hingelink::cli

#endif  // HINGELINK_CLI_CONTROL_OF_NODE_H_
