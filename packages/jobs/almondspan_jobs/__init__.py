"""Jobs as graphs of tasks: how entries, the owner and agents run them.

Entries accept jobs from callers and store them (`job_api`). One entry at a time owns
all jobs (`leadership`): it assigns tasks to workers (`scheduler`), stores each decision
(`committer`) and sends commands to the workers' agents (`owner`). An agent
(`worker_agent`) executes the commands, renews its worker's lease and reports which
tasks run there and which have ended.
"""
