"""The simulator: whole fleets in simulated time, with the decisions of the program and models of the rest.

`simulation.Simulation(scenario, seed).play()` gives a record of the same shape as the process harness does,
so the invariant checker, reports and experiments read both. One seed replays all of it. Decisions
(`scheduling`, `consensus`, `replication`, `recovery`) are the program's own. What is a model:

- sockets: a message is on its way for 0.1 to 0.6 ms (`simulation`);
- workers, as the stub servers of the laboratory are (`worker`);
- service discovery, as the stub registry is (`discovery`, `endpoint_watch`);
- the start of a process, and what of its state it had stored before a crash (`dispatcher`, `recovery`);
- clients, drawn from the same seed as those of processes, so the same jobs come at the same times
  (`clients`), and the load balancer between them and the dispatchers (`load_balancer`);
- consensus, on the links and disks of `lab.schedule` (`consensus`);
- copies of keys, on the links and disks of `lab.copying`, which also has when each dispatcher hears who
  holds them (`key_replication`). A single copy is refused.

CPU costs nothing.
"""
