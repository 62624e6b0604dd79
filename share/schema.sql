CREATE TABLE IF NOT EXISTS corianderdock_request (
  id TEXT PRIMARY KEY,
  outcome TEXT NOT NULL
);
