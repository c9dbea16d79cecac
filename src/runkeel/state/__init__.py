"""Local copies of the documents in the store, and observation of the store's availability."""
