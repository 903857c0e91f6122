"""Jobs as graphs of tasks: how entries, their owner and agents run them.

Entries take jobs from callers and store them (`job_door`). One entry at a time owns
all jobs (`leadership`): it decides where tasks run (`scheduler`), stores each decision
(`committer`) and sends the orders to the agents beside the workers (`owner`). An agent
(`keeper`) carries out orders, renews its worker's lease and reports what it lists.
"""
