#include "cluster.h"

namespace bench {

Deployment Adinkra() {
  Deployment it;
  it.name = "adinkra";
  it.zones = {"osu", "tema", "kaneshie"};
  it.groups = {"saddle-1", "saddle-2", "saddle-3"};
  it.sheet =
      "service,group,zones,kind,mode,max_age,demand\n"
      "claims,saddle-1,osu;tema;kaneshie,claim,write,,40\n"
      "claims,saddle-1,osu;tema;kaneshie,stock,read,0,40\n"
      "claims,saddle-1,osu;tema;kaneshie,report,read,5s,1\n"
      "claims,saddle-1,osu;tema;kaneshie,audit,read,0,1\n"
      "catalogue,saddle-2,osu;tema;kaneshie,report,read,5s,1\n"
      "catalogue,saddle-2,osu;tema;kaneshie,browse,read,5s,200\n"
      "catalogue,saddle-2,osu;tema;kaneshie,edit,write,,2\n"
      "dispatch,saddle-3,osu;tema;kaneshie,consignment,write,,20\n"
      "dispatch,saddle-3,osu;tema;kaneshie,lookup,read,2s,40\n";
  return it;
}

Deployment Dzintarkrasts() {
  Deployment it;
  it.name = "dzintarkrasts";
  it.zones = {"riga-a", "riga-b", "riga-c"};
  it.groups = {"glow-1", "glow-2", "glow-3"};
  it.slots = 3;
  it.connection_limit = 45;
  it.connect_delay = Milliseconds(25);
  it.zone_delay = std::chrono::microseconds(500);
  it.sheet =
      "service,group,zones,kind,mode,max_age,demand\n"
      "claims,glow-1,riga-a;riga-b;riga-c,claim,write,,60\n"
      "claims,glow-1,riga-a;riga-b;riga-c,stock,read,0,40\n"
      "claims,glow-1,riga-a;riga-b;riga-c,report,read,10s,1\n"
      "claims,glow-1,riga-a;riga-b;riga-c,audit,read,0,1\n"
      "catalogue,glow-2,riga-a;riga-b;riga-c,report,read,5s,1\n"
      "catalogue,glow-2,riga-a;riga-b;riga-c,browse,read,2s,600\n"
      "catalogue,glow-2,riga-a;riga-b;riga-c,edit,write,,2\n"
      "dispatch,glow-3,riga-a;riga-b;riga-c,consignment,write,,40\n"
      "dispatch,glow-3,riga-a;riga-b;riga-c,lookup,read,1s,80\n";
  return it;
}

}  // namespace bench
