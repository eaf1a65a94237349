#include "papayafieldctl/Options.h"

#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace papayafield::papayafieldctl {

namespace {

constexpr char kHelp[] =
  "papayafieldctl: operates a papayafield fleet.\n"
  "\n"
  "Usage: papayafieldctl COMMAND [FILE] [options]\n"
  "\n"
  "Commands:\n"
  "  validate FILE   check a manifest and print all findings\n"
  "  apply FILE      apply a manifest as the new configuration\n"
  "  status          show the members, their generation and the endpoints\n"
  "  manifest        print the active manifest\n"
  "  timeline        print the events of all nodes in causal order\n"
  "  drain           ask the node given by --node to drain and stop\n"
  "  explain         show where a call would go now, and why, without sending it\n"
  "  version         print the version\n"
  "\n"
  "Options:\n"
  "  -n, --node ADDR       a node, as IP:PORT; may be given more than once\n"
  "  -k, --key-file FILE   read the operator's key from FILE (default: PAPAYAFIELD_KEY)\n"
  "  -j, --json            print JSON\n"
  "  -w, --wait            apply: wait until the change is active on each node\n"
  "  -s, --wait-seconds N  apply: wait at most N seconds (30)\n"
  "  -b, --base N          apply: the generation the change is based on (default: current)\n"
  "  -i, --apply-id ID     apply: the id of this apply, to resolve an unknown outcome\n"
  "  -u, --by NAME         apply: who makes the change (default: the user's name)\n"
  "  -t, --within N        drain: the host stops in N seconds; open requests are handed over\n"
  "  -r, --request ID      timeline: only the events of this request\n"
  "  -e, --subject NAME    timeline: only the events about this endpoint or generation\n"
  "  -H, --host H          explain: the host name of the call\n"
  "  -p, --path P          explain: the path of the call\n"
  "  -m, --method M        explain: the method of the call\n"
  "  -T, --team T          explain: the identifier of the team\n"
  "  -P, --parts LIST      explain: the prompt parts, as NAME:TOKENS,NAME:TOKENS\n"
  "  -o, --tokens IN,OUT   explain: the tokens of the prompt and of the output\n"
  "  -h, --help            print this help\n"
  "\n"
  "explain takes the address of the node's metrics listener as --node.\n"
  "\n"
  "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 the manifest has findings, 4 conflict with\n"
  "another change, 5 unknown (retry with the same --apply-id), 6 no node could be reached.\n";

std::string ReadFirstLine(const std::string& aFile) {
  std::ifstream file(aFile);
  std::string line;
  std::getline(file, line);
  return line;
}

} // namespace

std::optional<ExitCode> ReadOptions(int aCount, char** aValues, Options& aOptions) {
  static const option kOptions[] = { { "node", required_argument, nullptr, 'n' },
                                     { "key-file", required_argument, nullptr, 'k' },
                                     { "json", no_argument, nullptr, 'j' },
                                     { "wait", no_argument, nullptr, 'w' },
                                     { "wait-seconds", required_argument, nullptr, 's' },
                                     { "base", required_argument, nullptr, 'b' },
                                     { "apply-id", required_argument, nullptr, 'i' },
                                     { "by", required_argument, nullptr, 'u' },
                                     { "within", required_argument, nullptr, 't' },
                                     { "request", required_argument, nullptr, 'r' },
                                     { "subject", required_argument, nullptr, 'e' },
                                     { "host", required_argument, nullptr, 'H' },
                                     { "path", required_argument, nullptr, 'p' },
                                     { "method", required_argument, nullptr, 'm' },
                                     { "team", required_argument, nullptr, 'T' },
                                     { "parts", required_argument, nullptr, 'P' },
                                     { "tokens", required_argument, nullptr, 'o' },
                                     { "help", no_argument, nullptr, 'h' },
                                     { nullptr, 0, nullptr, 0 } };
  const char* key = std::getenv("PAPAYAFIELD_KEY");
  aOptions.m_key = key == nullptr ? "" : key;
  const char* user = std::getenv("USER");
  aOptions.m_setBy = user == nullptr ? "operator" : user;
  for (int flag = 0;
       (flag = getopt_long(
          aCount, aValues, "n:k:jws:b:i:u:t:r:e:H:p:m:T:P:o:h", kOptions, nullptr)) != -1;) {
    switch (flag) {
      case 'n':
        aOptions.m_nodes.push_back(base::Address::Parse(optarg));
        if (aOptions.m_nodes.back().m_port == 0) {
          std::fprintf(stderr, "papayafieldctl: '%s' is not an address\n", optarg);
          return ExitCode::Usage;
        }
        break;
      case 'k':
        aOptions.m_key = ReadFirstLine(optarg);
        break;
      case 'j':
        aOptions.m_json = true;
        break;
      case 'w':
        aOptions.m_wait = true;
        break;
      case 's':
        aOptions.m_waitSeconds = std::atoi(optarg);
        break;
      case 'b':
        aOptions.m_baseGeneration = std::strtoull(optarg, nullptr, 10);
        break;
      case 'i':
        aOptions.m_applyId = optarg;
        break;
      case 'u':
        aOptions.m_setBy = optarg;
        break;
      case 't':
        aOptions.m_drainSeconds = std::atoi(optarg);
        break;
      case 'r':
        aOptions.m_requestFilter = optarg;
        break;
      case 'e':
        aOptions.m_subjectFilter = optarg;
        break;
      case 'H':
        aOptions.m_callHost = optarg;
        break;
      case 'p':
        aOptions.m_callPath = optarg;
        break;
      case 'm':
        aOptions.m_callMethod = optarg;
        break;
      case 'T':
        aOptions.m_callTeam = optarg;
        break;
      case 'P':
        aOptions.m_callParts = optarg;
        break;
      case 'o':
        aOptions.m_callTokens = optarg;
        break;
      case 'h':
        std::fputs(kHelp, stdout);
        return ExitCode::Done;
      default:
        return ExitCode::Usage;
    }
  }
  if (optind >= aCount) {
    std::fputs("papayafieldctl: missing command; see --help\n", stderr);
    return ExitCode::Usage;
  }
  aOptions.m_command = aValues[optind];
  if (optind + 1 < aCount) {
    aOptions.m_file = aValues[optind + 1];
  }
  return std::nullopt;
}

} // namespace papayafield::papayafieldctl
